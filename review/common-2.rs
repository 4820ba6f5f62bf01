//! Stand-ins of the platform, loan servers and clients for the cases of the second review, with
//! the standard library only. Every address is a loopback address with a free port.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Ends the run with exit status 2 unless the rule was judged.
pub fn fail(message: &str) -> ! {
    eprintln!("could not run: {message}");
    std::process::exit(COULD_NOT_RUN);
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A small random number generator (SplitMix64).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number from `from` up to, but not including, `to`.
    pub fn range(&mut self, from: u64, to: u64) -> u64 {
        from + self.next() % (to - from)
    }

    pub fn chance(&mut self, probability: f64) -> bool {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64 <= probability
    }
}

/// The record of a run: what was sent, answered and executed.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_secs_f64() * 1e3;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:10.1} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// The environment of a run: the root of the repository, a temporary folder and the record.
pub struct Env {
    pub root: PathBuf,
    pub work: PathBuf,
    pub record: Record,
    /// Whether the run plays its disruption.
    pub trouble: bool,
    pub random: Random,
}

impl Env {
    /// Reads the arguments `WORK RECORD`; the current folder is the root of the repository.
    pub fn from_args() -> Env {
        let args: Vec<String> = std::env::args().collect();
        if args.len() != 3 {
            fail("expected the arguments WORK and RECORD");
        }
        let root = std::env::current_dir().unwrap_or_else(|e| fail(&e.to_string()));
        let file = File::create(&args[2]).unwrap_or_else(|e| fail(&e.to_string()));
        end_after_110_seconds(PathBuf::from(&args[1]));
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_nanos() as u64;
        Env {
            root,
            work: PathBuf::from(&args[1]),
            record: Record {
                file: Arc::new(Mutex::new(file)),
                started: Instant::now(),
            },
            trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            random: Random::new(seed),
        }
    }

    /// Returns the value of a command in the deploy file.
    pub fn deploy_command(&self, key: &str) -> String {
        let path = self.root.join("deploy/balancer.toml");
        let text = std::fs::read_to_string(path).unwrap_or_else(|e| fail(&e.to_string()));
        let prefix = format!("{key} = \"");
        for line in text.lines() {
            if let Some(rest) = line.strip_prefix(&prefix) {
                return rest[..rest.find('"').unwrap_or(rest.len())].to_owned();
            }
        }
        fail("the deploy file lacks a command")
    }

    /// Notes a process, so that run.sh can end it if this program is ended.
    fn note_process(&self, pid: u32) {
        let path = self.work.join("pids");
        let mut file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .unwrap();
        let _ = writeln!(file, "{pid}");
    }
}

/// Ends the run, and the processes that it started, before 120 s have passed.
fn end_after_110_seconds(work: PathBuf) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(110));
        for pid in std::fs::read_to_string(work.join("pids"))
            .unwrap_or_default()
            .lines()
        {
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -KILL {pid}")])
                .status();
        }
        fail("the run took too long");
    });
}

/// Returns a loopback address with a free TCP port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .unwrap_or_else(|e| fail(&e.to_string()))
}

/// Returns a loopback address with a free UDP port.
pub fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .unwrap_or_else(|e| fail(&e.to_string()))
}

// ---------------------------------------------------------------- settings

/// The settings of a small deployment, as in the example of the wire page.
pub struct Settings {
    pub nodes: usize,
    pub deadline_ms: u64,
    pub aim_ms: u64,
    pub conn_idle_ms: u64,
    /// File descriptors that a process of an edge node may hold.
    pub sockets: usize,
    pub memory_mb: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            nodes: 1,
            deadline_ms: 4000,
            aim_ms: 1000,
            conn_idle_ms: 15_000,
            sockets: 1024,
            memory_mb: 192,
        }
    }
}

impl Settings {
    fn json(&self, me: usize) -> String {
        let aim = self.aim_ms * 1000;
        let deadline = self.deadline_ms * 1000;
        let idle = self.conn_idle_ms * 1000;
        let nodes = self.nodes;
        format!(
            r#"{{"balancers": {nodes},
 "ceilings": {{"cancel": true, "connIdleUs": {idle}, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "maxRetryAfterUs": 500000, "maxStreams": 32, "mayTell": true, "mostHeld": 20000, "probes": false, "retryAfter": true, "secondCopies": true, "sendCap": 5}},
 "classes": [{{"aimUs": {aim}, "deadlineUs": {deadline}, "group": "all", "lateValue": 0.2, "name": "balance-read", "repeat": "read_like", "streamed": false, "windowUs": 5000000, "worth": 3.0}}, {{"aimUs": {aim}, "deadlineUs": {deadline}, "group": "all", "lateValue": 0.2, "name": "post-payment", "repeat": "non_idempotent", "streamed": false, "windowUs": 5000000, "worth": 5.0}}],
 "clientHabits": {{"marksRetry": true}},
 "deductions": {{"connection": 0.0, "crossZone": 0.0091, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.03, "probe": 0.0, "waste": 0.05}},
 "discovery": "automatic",
 "extra": {{"callPrice": 0.0, "countLimitUs": 0, "hasCounter": false, "maxUnits": 8, "peerInPerS": 40.0, "postPaid": true, "usePeriodUs": 0}},
 "goal": {{"whole": 0.65, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.1}},
 "kindOfService": "gate", "kinds": ["std-4"], "layer": 0, "me": {me},
 "packages": [{{"atOnce": 0, "capRate": 0.0, "capSlack": 0.0, "name": "basic", "neverOverDepth": 0.0, "overWorth": 0.2, "overrunCost": 0.0, "price": 0.72, "rate": 2.6, "storeSize": 16.0}}, {{"atOnce": 0, "capRate": 0.0, "capSlack": 0.0, "name": "standard", "neverOverDepth": 0.0, "overWorth": 0.0, "overrunCost": 1.0, "price": 1.1, "rate": 14.0, "storeSize": 29.0}}, {{"atOnce": 0, "capRate": 100.0, "capSlack": 17.0, "name": "premier", "neverOverDepth": 172.0, "overWorth": 0.0, "overrunCost": 0.8, "price": 1.8, "rate": 60.0, "storeSize": 97.0}}],
 "periodUs": 2000,
 "report": {{"fields": ["concurrent"], "source": "inline"}},
 "rules": {{"askWithinUs": 10000000, "coldFrom": 0.27, "coldUs": 16000000, "drainGraceUs": 500000, "fallMultiple": 2.5, "graceToAnswerUs": 8000, "overloadForUs": 3000000}},
 "tiers": ["loan-core"], "weights": "rough", "zone": "block-a", "zones": ["block-a", "block-b", "block-c"]}}"#
        )
    }
}

// ---------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub health: &'static str,
}

impl Host {
    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"block-a","class":"std-4","block":1,"health":"{}","share":1.0,"born_ms":0}}"#,
            self.name, self.dial, self.health
        )
    }
}

struct List {
    seq: u64,
    hosts: Vec<Host>,
    /// The changes, each with its version.
    changes: Vec<(u64, Host)>,
}

/// Discovery: the list, and an agent for each edge node.
#[derive(Clone)]
pub struct Discovery {
    list: Arc<(Mutex<List>, Condvar)>,
    /// Time that an agent takes to answer a call.
    pub answer_delay_ms: Arc<AtomicU64>,
    /// Number by which open watches are reset: a watch ends if the number has changed.
    resets: Arc<AtomicU64>,
    record: Record,
}

impl Discovery {
    pub fn new(record: &Record, hosts: Vec<Host>) -> Discovery {
        let list = List {
            seq: 41,
            hosts,
            changes: Vec::new(),
        };
        Discovery {
            list: Arc::new((Mutex::new(list), Condvar::new())),
            answer_delay_ms: Arc::default(),
            resets: Arc::default(),
            record: record.clone(),
        }
    }

    pub fn snapshot(&self) -> String {
        let list = self.list.0.lock().unwrap();
        whole_list(&list)
    }

    /// Changes the health of a host; a host that is gone leaves the whole list.
    pub fn set_health(&self, name: &str, health: &'static str) {
        let mut list = self.list.0.lock().unwrap();
        list.seq += 1;
        let seq = list.seq;
        let Some(host) = list.hosts.iter_mut().find(|host| host.name == name) else {
            fail("unknown host")
        };
        host.health = health;
        let host = host.clone();
        list.hosts.retain(|host| host.health != "gone");
        list.changes.push((seq, host));
        self.record
            .line(&format!("discovery: {name} is {health}, version {seq}"));
        self.list.1.notify_all();
    }

    /// Resets all open watches.
    pub fn reset_watches(&self) {
        let _list = self.list.0.lock().unwrap();
        self.resets.fetch_add(1, Ordering::SeqCst);
        self.record.line("discovery: all open watches are reset");
        self.list.1.notify_all();
    }

    /// Starts the agent of an edge node, and returns its address.
    pub fn start_agent(&self, node: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let discovery = self.clone();
        let node = node.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                let node = node.clone();
                thread::spawn(move || discovery.serve(stream, &node));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream, node: &str) {
        let _ = stream.set_nodelay(true);
        let resets = self.resets.load(Ordering::SeqCst);
        let mut reader = Reader::new(stream.try_clone().unwrap());
        let Some(head) = reader.head() else { return };
        let delay = self.answer_delay_ms.load(Ordering::SeqCst);
        self.record.line(&format!(
            "{node}: call to discovery: {}, answered after {delay} ms",
            head.first_line
        ));
        thread::sleep(millis(delay));
        if !head.first_line.contains("watch=1") {
            let body = self.snapshot();
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return;
        }
        if stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .is_err()
        {
            return;
        }
        let (lock, changed) = &*self.list;
        let mut list = lock.lock().unwrap();
        let mut told = list.seq;
        let mut text = whole_list(&list) + "\n";
        loop {
            drop(list);
            if write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_err() {
                return;
            }
            list = lock.lock().unwrap();
            let until = Instant::now() + Duration::from_secs(2);
            while list.seq == told && self.resets.load(Ordering::SeqCst) == resets {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                list = changed.wait_timeout(list, left).unwrap().0;
            }
            if self.resets.load(Ordering::SeqCst) != resets {
                return;
            }
            text = if list.seq == told {
                "\n".to_owned()
            } else {
                let hosts: Vec<String> = list
                    .changes
                    .iter()
                    .filter(|(seq, _)| *seq > told)
                    .map(|(_, host)| host.json())
                    .collect();
                told = list.seq;
                format!(
                    "{{\"seq\":{told},\"whole\":false,\"hosts\":[{}]}}\n",
                    hosts.join(",")
                )
            };
        }
    }
}

fn whole_list(list: &List) -> String {
    let hosts: Vec<String> = list.hosts.iter().map(Host::json).collect();
    format!(
        "{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}",
        list.seq,
        hosts.join(",")
    )
}

// ---------------------------------------------------------------- edge nodes

static SIGNAL_SHELL: Mutex<Option<Child>> = Mutex::new(None);

pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    child: Child,
    /// File with the ids of the processes that this program has started and not ended.
    pids: PathBuf,
}

impl Node {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process that `run` started.
    pub fn signal(&self, record: &Record, name: &str) {
        record.line(&format!("{}: SIG{name}", self.name));
        // One shell sends all signals, because starting a shell may take some milliseconds. It ends
        // with this program, which closes its input.
        let mut shell = SIGNAL_SHELL.lock().unwrap();
        let shell = shell.get_or_insert_with(|| {
            let started = Command::new("/bin/sh").stdin(Stdio::piped()).spawn();
            started.unwrap_or_else(|e| fail(&e.to_string()))
        });
        let input = shell.stdin.as_mut().unwrap();
        if writeln!(input, "kill -{name} {}", self.child.id()).is_err() {
            fail("a signal could not be sent");
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let own = self.child.id().to_string();
        let pids = std::fs::read_to_string(&self.pids).unwrap_or_default();
        let others: String = pids
            .lines()
            .filter(|pid| *pid != own)
            .map(|pid| format!("{pid}\n"))
            .collect();
        let _ = std::fs::write(&self.pids, others);
    }
}

/// Starts the edge nodes of a deployment, each with an agent of discovery, and waits until they
/// are ready.
pub fn start_nodes(env: &Env, settings: &Settings, discovery: &Discovery) -> Vec<Node> {
    let peers: Vec<SocketAddr> = (0..settings.nodes).map(|_| free_udp_address()).collect();
    let mut nodes = Vec::new();
    for me in 0..settings.nodes {
        nodes.push(start_node(env, settings, discovery, &peers, me));
    }
    for node in &mut nodes {
        wait_until_ready(env, node);
    }
    nodes
}

fn start_node(
    env: &Env,
    settings: &Settings,
    discovery: &Discovery,
    peers: &[SocketAddr],
    me: usize,
) -> Node {
    let name = format!("n{me}");
    let listen = free_address();
    let agent = discovery.start_agent(&name);
    let peer_list: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let config = format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{agent}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":"{}","peers":[{}],"known":{},"settings":{}}}"#,
        0x8c1f_30d2_u64 + me as u64,
        settings.memory_mb,
        settings.sockets,
        peers[me],
        peer_list.join(","),
        discovery.snapshot(),
        settings.json(me),
    );
    let path = env.work.join(format!("{name}.json"));
    std::fs::write(&path, config).unwrap_or_else(|e| fail(&e.to_string()));
    let temporary = env.work.join(format!("{name}.tmp"));
    let _ = std::fs::create_dir(&temporary);
    let log = File::create(env.work.join(format!("{name}.log"))).unwrap();
    let child = Command::new("/bin/sh")
        .args(["-c", &env.deploy_command("run")])
        .current_dir(&env.root)
        .env("LB_NAME", &name)
        .env("LB_LISTEN", listen.to_string())
        .env("LB_DISCOVERY", agent.to_string())
        .env("LB_CONFIG", &path)
        .env("TMPDIR", temporary)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|e| fail(&e.to_string()));
    env.note_process(child.id());
    let pids = env.work.join("pids");
    Node {
        name,
        listen,
        child,
        pids,
    }
}

fn wait_until_ready(env: &Env, node: &mut Node) {
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if node.has_ended() {
            fail("an edge node ended at its start");
        }
        if let Ok(mut stream) = TcpStream::connect(node.listen) {
            let _ = stream.set_read_timeout(Some(millis(1000)));
            let _ = stream
                .write_all(b"GET /-/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n");
            if Reader::new(stream)
                .response()
                .is_ok_and(|response| response.status == 200)
            {
                env.record.line(&format!("{}: ready", node.name));
                return;
            }
        }
        thread::sleep(millis(20));
    }
    fail("an edge node was not ready within 30 s");
}

// ---------------------------------------------------------------- HTTP

pub struct Head {
    pub first_line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Error of a read during which the connection stayed open and silent.
pub const UNANSWERED: &str = "silent up to 0.55 s after the deadline";
/// Error of a connection that the machine of the edge node did not accept.
pub const NOT_ACCEPTED: &str = "the connection was not accepted";

/// Reads HTTP messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> Result<(), String> {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err("the connection ended".to_owned()),
            Ok(length) => {
                self.buffer.extend_from_slice(&chunk[..length]);
                Ok(())
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(UNANSWERED.to_owned())
            }
            Err(error) => Err(error.to_string()),
        }
    }

    fn read_head(&mut self) -> Result<Head, String> {
        let end = loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
            {
                break end;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Head {
            first_line,
            headers,
        })
    }

    pub fn head(&mut self) -> Option<Head> {
        self.read_head().ok()
    }

    pub fn body(&mut self, length: usize) -> Result<Vec<u8>, String> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a response; a body without a length lasts until the end of the connection.
    pub fn response(&mut self) -> Result<Response, String> {
        let head = self.read_head()?;
        let status = head
            .first_line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok());
        let status = status.ok_or_else(|| format!("no status: {}", head.first_line))?;
        let body = if let Some(length) = head.headers.get("content-length") {
            let length = length.parse().map_err(|_| "a bad length".to_owned())?;
            self.body(length)?
        } else if head.get("transfer-encoding") == "chunked" {
            self.chunked()?
        } else {
            let mut chunk = [0; 16 * 1024];
            loop {
                match self.stream.read(&mut chunk) {
                    Ok(0) => break std::mem::take(&mut self.buffer),
                    Ok(length) => self.buffer.extend_from_slice(&chunk[..length]),
                    Err(error) => return Err(error.to_string()),
                }
            }
        };
        Ok(Response {
            status,
            headers: head.headers,
            body,
        })
    }

    fn chunked(&mut self) -> Result<Vec<u8>, String> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                self.fill()?;
            };
            let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let length =
                usize::from_str_radix(text.trim(), 16).map_err(|_| "a bad chunk".to_owned())?;
            let data = self.body(length + 2)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&data[..length]);
        }
    }
}

// ---------------------------------------------------------------- loan servers

/// A request as a loan server received it.
pub struct Received {
    pub id: String,
    pub first_line: String,
    pub class: String,
    pub server: String,
    /// The answer that the loan server made for the request.
    pub made: String,
    /// Requests that the loan server holds.
    pub inflight: usize,
}

/// How the loan servers write an answer. The function returns whether the connection stays open
/// for further requests.
pub type WriteAnswer = dyn Fn(&Received, &mut TcpStream) -> bool + Send + Sync;

/// What the loan servers executed: the server and the answer of each execution, by request id.
pub type Executions = Arc<Mutex<HashMap<String, Vec<(String, String)>>>>;

pub struct Servers {
    pub hosts: Vec<Host>,
    pub executions: Executions,
}

/// Starts loan servers of 4 cores whose requests take 88 to 150 ms. `write_answer` writes each
/// answer.
pub fn start_servers(env: &mut Env, count: usize, write_answer: Arc<WriteAnswer>) -> Servers {
    let executions = Executions::default();
    let mut hosts = Vec::new();
    for number in 0..count {
        let name = format!("s-{:08x}", env.random.next() as u32);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&e.to_string()));
        hosts.push(Host {
            name: name.clone(),
            dial: listener.local_addr().unwrap(),
            health: "ready",
        });
        env.record.line(&format!("loan server {number}: {name}"));
        let server = Arc::new(Server {
            name,
            inflight: AtomicUsize::new(0),
            cores: (Mutex::new(4), Condvar::new()),
            random: Mutex::new(Random::new(env.random.next())),
            executions: Arc::clone(&executions),
            record: env.record.clone(),
            write_answer: Arc::clone(&write_answer),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
    }
    Servers { hosts, executions }
}

struct Server {
    name: String,
    inflight: AtomicUsize,
    cores: (Mutex<usize>, Condvar),
    random: Mutex<Random>,
    executions: Executions,
    record: Record,
    write_answer: Arc<WriteAnswer>,
}

impl Server {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream.try_clone().unwrap());
        while let Some(head) = reader.head() {
            let length = head.get("content-length").parse().unwrap_or(0);
            if reader.body(length).is_err() {
                return;
            }
            let inflight = self.inflight.fetch_add(1, Ordering::SeqCst) + 1;
            let received = self.execute(&head, inflight);
            let stays_open = (self.write_answer)(&received, &mut stream);
            self.inflight.fetch_sub(1, Ordering::SeqCst);
            if !stays_open {
                return;
            }
        }
    }

    fn execute(&self, head: &Head, inflight: usize) -> Received {
        let id = head.get("x-request-id").to_owned();
        let mut random = self.random.lock().unwrap();
        let work = millis(random.range(88, 151));
        let balance = random.next();
        drop(random);
        let (cores, freed) = &self.cores;
        let mut free = cores.lock().unwrap();
        while *free == 0 {
            free = freed.wait(free).unwrap();
        }
        *free -= 1;
        drop(free);
        thread::sleep(work);
        *cores.lock().unwrap() += 1;
        freed.notify_one();
        let made = format!(
            "{{\"request\":\"{id}\",\"server\":\"{}\",\"balance\":{},\"schedule\":[\"2026-12-31\",\"2027-01-31\",\"2027-02-28\"],\"check\":\"{balance:016x}\"}}",
            self.name,
            balance % 100_000
        );
        self.record
            .line(&format!("{}: ran {id} ({})", self.name, head.first_line));
        let run = (self.name.clone(), made.clone());
        self.executions
            .lock()
            .unwrap()
            .entry(id.clone())
            .or_default()
            .push(run);
        let class = head.first_line.split('/').nth(1).unwrap_or("").to_owned();
        Received {
            id,
            first_line: head.first_line.clone(),
            class,
            server: self.name.clone(),
            made,
            inflight,
        }
    }
}

/// Writes an answer with its length.
pub fn write_sound_answer(received: &Received, stream: &mut TcpStream) -> bool {
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Load: inflight={}\r\n\r\n{}",
        received.made.len(),
        received.inflight,
        received.made
    );
    stream.write_all(answer.as_bytes()).is_ok()
}

// ---------------------------------------------------------------- clients

/// What a client sent and received.
pub struct Outcome {
    pub id: String,
    pub class: &'static str,
    pub sent: Instant,
    pub answered: Instant,
    pub deadline: Duration,
    pub response: Result<Response, String>,
}

pub struct Load {
    pub clients_per_node: usize,
    /// Pause of a client between an answer and its next request, in ms.
    pub pause_ms: (u64, u64),
    pub duration: Duration,
    /// Time that a client waits for an answer, in ms: 50 to 100 % of the give-up time.
    pub deadline_ms: (u64, u64),
}

/// Returns the text of a request of a customer of the plan `premier`.
pub fn request_text(
    id: &str,
    class: &str,
    customer: u64,
    nodes: usize,
    deadline_ms: u64,
) -> String {
    let (method, length) = if class == "balance-read" {
        ("GET", "")
    } else {
        ("POST", "Content-Length: 16\r\n")
    };
    let body = if length.is_empty() {
        ""
    } else {
        "amount=125.00TTD"
    };
    format!(
        "{method} /{class}/{customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Tier: premier\r\nX-Deadline: {deadline_ms}m\r\n{length}X-Call-Terms: units=1,spread={nodes},first=0\r\n\r\n{body}"
    )
}

/// Plays clients at all nodes, each with one connection and one request at a time, and returns
/// what each request got. Of the requests, 64 % are reads.
pub fn play_load(env: &mut Env, nodes: &[Node], load: &Load) -> Vec<Outcome> {
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + load.duration;
    let mut threads = Vec::new();
    for node in nodes {
        for _ in 0..load.clients_per_node {
            let random = Random::new(env.random.next());
            let client = LoadClient {
                listen: node.listen,
                node: node.name.clone(),
                nodes: nodes.len(),
                random,
                pause_ms: load.pause_ms,
                deadline_ms: load.deadline_ms,
                record: env.record.clone(),
            };
            let outcomes = Arc::clone(&outcomes);
            threads.push(thread::spawn(move || client.play(until, &outcomes)));
        }
    }
    for thread in threads {
        if thread.join().is_err() {
            fail("a client failed");
        }
    }
    let outcomes = std::mem::take(&mut *outcomes.lock().unwrap());
    outcomes
}

struct LoadClient {
    listen: SocketAddr,
    node: String,
    nodes: usize,
    random: Random,
    pause_ms: (u64, u64),
    deadline_ms: (u64, u64),
    record: Record,
}

impl LoadClient {
    fn play(mut self, until: Instant, outcomes: &Mutex<Vec<Outcome>>) {
        let mut connection: Option<Reader> = None;
        while Instant::now() < until {
            thread::sleep(millis(self.random.range(self.pause_ms.0, self.pause_ms.1)));
            let class = if self.random.chance(0.64) {
                "balance-read"
            } else {
                "post-payment"
            };
            let id = format!("{:016x}", self.random.next());
            let customer = self.random.range(1, 40);
            let deadline_ms = self
                .random
                .range(self.deadline_ms.0, self.deadline_ms.1 + 1);
            let text = request_text(&id, class, customer, self.nodes, deadline_ms);
            let deadline = millis(deadline_ms);
            let (sent, response) = self.exchange(&mut connection, &text, deadline);
            let answered = Instant::now();
            let word = match &response {
                Ok(response) => format!(
                    "{} {}",
                    response.status,
                    String::from_utf8_lossy(&response.body)
                ),
                Err(error) => format!("no answer: {error}"),
            };
            let waited = answered.duration_since(sent).as_millis();
            self.record.line(&format!(
                "client of {}: {class} {id}, waits {deadline_ms} ms, after {waited} ms: {word}",
                self.node
            ));
            let closes = response.as_ref().map_or(true, |response| {
                response
                    .headers
                    .get("connection")
                    .is_some_and(|value| value == "close")
            });
            if closes {
                connection = None;
            }
            outcomes.lock().unwrap().push(Outcome {
                id,
                class,
                sent,
                answered,
                deadline,
                response,
            });
        }
    }

    /// Sends a request, on a new connection if the node has closed the last one, and reads its
    /// answer. A request that crosses the close of a resting connection is sent once more.
    fn exchange(
        &self,
        connection: &mut Option<Reader>,
        text: &str,
        deadline: Duration,
    ) -> (Instant, Result<Response, String>) {
        let mut was_kept = true;
        loop {
            if connection.is_none() {
                was_kept = false;
                match TcpStream::connect_timeout(&self.listen, deadline) {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        *connection = Some(Reader::new(stream));
                    }
                    Err(_) => return (Instant::now(), Err(NOT_ACCEPTED.to_owned())),
                }
            }
            let reader = connection.as_mut().unwrap();
            let _ = reader.stream.set_read_timeout(Some(deadline + millis(550)));
            let written = reader.stream.write_all(text.as_bytes());
            let sent = Instant::now();
            let response = written
                .map_err(|error| error.to_string())
                .and_then(|()| reader.response());
            let has_ended = response.as_ref().is_err_and(|error| error != UNANSWERED);
            if was_kept && has_ended && sent.elapsed() < deadline {
                *connection = None;
                continue;
            }
            return (sent, response);
        }
    }
}

/// Counts the outcomes by status, for the record.
pub fn summary(outcomes: &[Outcome]) -> String {
    let mut counts: Vec<(String, usize)> = Vec::new();
    for outcome in outcomes {
        let word = match &outcome.response {
            Ok(response) => format!("{} {}", outcome.class, response.status),
            Err(error) => format!("{} without an answer ({error})", outcome.class),
        };
        match counts.iter_mut().find(|(known, _)| *known == word) {
            Some((_, count)) => *count += 1,
            None => counts.push((word, 1)),
        }
    }
    counts.sort();
    let words: Vec<String> = counts
        .iter()
        .map(|(word, count)| format!("{word}: {count}"))
        .collect();
    format!("{} requests; {}", outcomes.len(), words.join(", "))
}
