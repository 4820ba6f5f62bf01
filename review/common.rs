//! Parts that the cases share: starts edge nodes with the command of the deploy file, and holds
//! the stand-ins for discovery, loan servers and clients. Standard library only, one thread for
//! each connection. Every address is on loopback.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit status: the rule was kept.
pub const HELD: i32 = 0;
/// Exit status: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status: the case could not run.
pub const NOT_RUN: i32 = 2;

/// Interval of the empty lines on a watch, as the protocol page gives it.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Returns whether the disruption is to be made; `TROUBLE=0` runs the case without it.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Process id of the edge node that runs, 0 if none does.
static RUNNING_NODE: AtomicU32 = AtomicU32::new(0);

/// Ends the edge node, if one runs, and then this process with status 2 and a reason.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    let node = RUNNING_NODE.load(Ordering::Relaxed);
    if node != 0 {
        let _ = Command::new("kill").args(["-KILL", &node.to_string()]).status();
    }
    std::process::exit(NOT_RUN);
}

// ---------------------------------------------------------------------------------------------
// Record

/// The file `record.txt` of a case. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt"));
        let file = file.unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
        Record {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    /// Writes one line with the time since the start of the case in milliseconds.
    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_secs_f64() * 1e3;
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{ms:10.1} ms  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// ---------------------------------------------------------------------------------------------
// Random numbers

/// A small generator (xorshift); each run is seeded from the clock unless `SEED` is set.
pub struct Random(u64);

impl Random {
    pub fn new(stream: u64) -> Random {
        let seed = match std::env::var("SEED").ok().and_then(|text| text.parse().ok()) {
            Some(seed) => seed,
            None => std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(1, |time| time.as_nanos() as u64),
        };
        let mut random = Random((seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15)) | 1);
        for _ in 0..8 {
            random.next();
        }
        random
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns a number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.fraction()
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// A request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads a message with a `Content-Length`, or without a body. `None` at the end of the connection
/// before the message begins.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message {
        start,
        headers,
        body,
    }))
}

/// Returns a response of a loan server to a request that has run.
pub fn served(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Cost-Units: 1\r\n\r\n{body}",
        body.len()
    )
}

// ---------------------------------------------------------------------------------------------
// Clients

/// One request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub id: String,
    pub class: String,
    pub customer: u64,
    pub plan: String,
    pub deadline_ms: u64,
    pub key: Option<String>,
    pub is_read: bool,
}

impl ClientRequest {
    pub fn text(&self) -> String {
        let (method, body) = if self.is_read {
            ("GET", String::new())
        } else {
            ("POST", format!("pay for {}", self.id))
        };
        let mut text = format!(
            "{method} /{}/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {}\r\nX-Class: {}\r\n\
             X-Tier: {}\r\nX-Deadline: {}m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n",
            self.class, self.customer, self.id, self.class, self.plan, self.deadline_ms
        );
        if let Some(key) = &self.key {
            text += &format!("Idempotency-Key: {key}\r\n");
        }
        if !self.is_read {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text + "\r\n" + &body
    }
}

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Waits for a response, at most this long.
    pub fn receive(&mut self, wait: Duration) -> io::Result<Option<Message>> {
        self.stream.set_read_timeout(Some(wait))?;
        read_message(&mut self.reader)
    }
}

// ---------------------------------------------------------------------------------------------
// Loan servers

/// Starts a listener that hands each connection to `serve` in a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0");
    let listener = listener.unwrap_or_else(|error| cannot_run(&format!("listener: {error}")));
    let address = listener.local_addr().expect("local address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Starts a proxy in front of `target`. `delay` gives the time that each piece takes on its way;
/// pieces of one direction keep their order.
pub fn delaying_proxy(
    target: SocketAddr,
    delay: impl Fn() -> Duration + Send + Sync + Clone + 'static,
) -> SocketAddr {
    listen(move |near| {
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let _ = far.set_nodelay(true);
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let there = delay.clone();
        let there = thread::spawn(move || pump(near_copy, far_copy, &there));
        pump(far, near, &delay);
        let _ = there.join();
    })
}

/// Carries bytes from one connection to another with a delay, then the end of the stream.
fn pump(mut from: TcpStream, mut to: TcpStream, delay: &dyn Fn() -> Duration) {
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    let writer = thread::spawn(move || {
        for (at, bytes) in receiver {
            wait_until(at);
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
    let mut buffer = [0; 16 * 1024];
    let mut last = Instant::now();
    loop {
        let length = from.read(&mut buffer).unwrap_or(0);
        last = last.max(Instant::now() + delay());
        if sender.send((last, buffer[..length].to_vec())).is_err() || length == 0 {
            break;
        }
    }
    drop(sender);
    let _ = writer.join();
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// Sleeps until a time, to about a tenth of a millisecond.
pub fn wait_until(at: Instant) {
    loop {
        let left = at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        thread::sleep(left);
    }
}

// ---------------------------------------------------------------------------------------------
// Discovery

/// An entry of the list of loan servers.
#[derive(Clone)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub cell: u64,
    pub health: &'static str,
}

impl Entry {
    pub fn ready(host: &str, dial: SocketAddr) -> Entry {
        Entry {
            host: host.to_owned(),
            dial,
            cell: 1,
            health: "ready",
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"block-a","class":"std-4","block":{},"health":"{}","share":1.0,"born_ms":0}}"#,
            self.host, self.dial, self.cell, self.health
        )
    }
}

struct DiscoveryState {
    sequence: u64,
    entries: Vec<Entry>,
    /// Changes with their sequence numbers, for the watches that are open.
    changes: Vec<(u64, Vec<Entry>)>,
}

/// The discovery agent on the edge node's machine: sends the whole list on each watch, then the
/// changes, and an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Discovery {
        let state = Arc::new(Mutex::new(DiscoveryState {
            sequence: 1,
            entries,
            changes: Vec::new(),
        }));
        let served = Arc::clone(&state);
        let address = listen(move |stream| {
            let _ = serve_watch(stream, &served);
        });
        Discovery { address, state }
    }

    /// Returns the whole list as JSON.
    pub fn whole(&self) -> String {
        let state = self.state.lock().expect("discovery");
        list_json(state.sequence, true, &state.entries)
    }

    /// Changes one entry and tells the open watches. An entry that is gone leaves the whole list.
    pub fn change(&self, entry: Entry) {
        let mut state = self.state.lock().expect("discovery");
        state.sequence += 1;
        state.entries.retain(|known| known.host != entry.host);
        if entry.health != "gone" {
            state.entries.push(entry.clone());
        }
        let sequence = state.sequence;
        state.changes.push((sequence, vec![entry]));
    }
}

pub fn list_json(sequence: u64, whole: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(
        r#"{{"seq":{sequence},"whole":{whole},"hosts":[{}]}}"#,
        entries.join(",")
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn serve_watch(mut stream: TcpStream, state: &Mutex<DiscoveryState>) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some(request) = read_message(&mut reader)? else {
        return Ok(());
    };
    let (mut told, whole) = {
        let state = state.lock().expect("discovery");
        (
            state.sequence,
            list_json(state.sequence, true, &state.entries),
        )
    };
    if !request.start.contains("watch=1") {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
        return stream.write_all((head + &whole).as_bytes());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    stream.write_all(chunk(&(whole + "\n")).as_bytes())?;
    let mut last = Instant::now();
    loop {
        thread::sleep(Duration::from_millis(5));
        let news: Vec<(u64, Vec<Entry>)> = {
            let state = state.lock().expect("discovery");
            let news = state.changes.iter().filter(|(sequence, _)| *sequence > told);
            news.cloned().collect()
        };
        for (sequence, entries) in news {
            told = sequence;
            stream.write_all(chunk(&(list_json(sequence, false, &entries) + "\n")).as_bytes())?;
            last = Instant::now();
        }
        if last.elapsed() >= HEARTBEAT {
            stream.write_all(chunk("\n").as_bytes())?;
            last = Instant::now();
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Settings

/// The settings that the cases change; the others are those of the example on the wire page.
pub struct Settings {
    pub classes: String,
    pub connect_timeout_us: u64,
    pub sockets: u32,
    pub memory_mb: u32,
}

/// A class of the settings, in the platform's JSON.
pub fn class_json(name: &str, deadline_ms: u64, repeat: &str, worth: f64, window_ms: u64) -> String {
    let aim = deadline_ms.min(1000) * 1000;
    format!(
        r#"{{"aimUs":{aim},"deadlineUs":{},"group":"all","lateValue":0.2,"name":"{name}","repeat":"{repeat}","streamed":false,"windowUs":{},"worth":{worth}}}"#,
        deadline_ms * 1000,
        window_ms * 1000
    )
}

impl Settings {
    /// The classes of the brief, with this deadline, and the limits of the wire page's example.
    pub fn of_brief(deadline_ms: u64) -> Settings {
        let read = class_json("balance-read", deadline_ms, "read_like", 3.0, 5000);
        let pay = class_json("post-payment", deadline_ms, "non_idempotent", 5.0, 5000);
        Settings {
            classes: format!("{read},{pay}"),
            connect_timeout_us: 250_000,
            sockets: 1024,
            memory_mb: 192,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"balancers":1,"ceilings":{{"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":{},"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"maxRetryAfterUs":500000,"maxStreams":32,"mayTell":true,"mostHeld":20000,"probes":false,"retryAfter":true,"secondCopies":true,"sendCap":5}},"classes":[{}],"clientHabits":{{"marksRetry":true}},"deductions":{{"connection":0.0,"crossZone":0.0091,"discovery":0.0,"handshake":0.0,"lateFail":0.08,"moves":0.0,"origin":0.0,"peer":0.03,"probe":0.0,"waste":0.05}},"discovery":"automatic","extra":{{"callPrice":0.0,"countLimitUs":0,"hasCounter":false,"maxUnits":8,"peerInPerS":40.0,"postPaid":true,"usePeriodUs":0}},"goal":{{"whole":0.65,"worstClass":0.1,"worstTenant":0.15,"worstWindow":0.1}},"kindOfService":"gate","kinds":["std-4"],"layer":0,"me":0,"packages":[{{"atOnce":0,"capRate":0.0,"capSlack":0.0,"name":"standard","neverOverDepth":0.0,"overWorth":0.0,"overrunCost":1.0,"price":1.1,"rate":14.0,"storeSize":29.0}}],"periodUs":2000,"report":{{"fields":["concurrent"],"source":"inline"}},"rules":{{"askWithinUs":10000000,"coldFrom":0.27,"coldUs":16000000,"drainGraceUs":500000,"fallMultiple":2.5,"graceToAnswerUs":8000,"overloadForUs":3000000}},"tiers":["loan-core"],"weights":"rough","zone":"block-a","zones":["block-a","block-b","block-c"]}}"#,
            self.connect_timeout_us, self.classes
        )
    }
}

// ---------------------------------------------------------------------------------------------
// Edge nodes

/// Returns the command of the deploy file that starts an edge node.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml");
    let text = text.unwrap_or_else(|error| cannot_run(&format!("deploy file: {error}")));
    let line = text.lines().find(|line| line.trim_start().starts_with("run"));
    let command = line.and_then(|line| line.split('"').nth(1));
    match command {
        Some(command) => command.to_owned(),
        None => cannot_run("no `run` in the deploy file"),
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("local address")
}

/// A temporary folder, removed with its content when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> TempFolder {
        let path = std::env::temp_dir().join(format!("edge-node-review-{}", std::process::id()));
        if let Err(error) = std::fs::create_dir_all(&path) {
            cannot_run(&format!("temporary folder: {error}"));
        }
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An edge node that runs as a process. It is killed when dropped.
pub struct EdgeNode {
    process: Child,
    pub address: SocketAddr,
    pub log: PathBuf,
}

impl EdgeNode {
    /// Starts an edge node and waits until it is ready.
    pub fn start(folder: &TempFolder, settings: &Settings, discovery: &Discovery) -> EdgeNode {
        let address = free_address();
        let peer = {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("free port");
            socket.local_addr().expect("local address")
        };
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":"{peer}","peers":["{peer}"],"known":{},"settings":{}}}"#,
            discovery.address,
            settings.memory_mb,
            settings.sockets,
            discovery.whole(),
            settings.json()
        );
        let path = folder.0.join("config.json");
        let log = folder.0.join("log.txt");
        std::fs::write(&path, config).expect("configuration is written");
        let log_file = File::create(&log).expect("log file");
        let process = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.address.to_string())
            .env("LB_CONFIG", &path)
            .env("TMPDIR", &folder.0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn();
        let process = process.unwrap_or_else(|error| cannot_run(&format!("edge node: {error}")));
        RUNNING_NODE.store(process.id(), Ordering::Relaxed);
        let mut node = EdgeNode {
            process,
            address,
            log,
        };
        if !node.wait_until_ready() {
            let log = std::fs::read_to_string(&node.log).unwrap_or_default();
            drop(node);
            cannot_run(&format!("the edge node is not ready: {log}"));
        }
        node
    }

    fn wait_until_ready(&mut self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if let Ok(mut client) = Client::connect(self.address) {
                let probe = "GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
                let _ = client.send(probe);
                let answer = client.receive(Duration::from_secs(2));
                if answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200)) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a signal, such as `-TERM`, to the process that `run` started.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .args([name, &self.process.id().to_string()])
            .status();
        if !kill.is_ok_and(|status| status.success()) {
            cannot_run(&format!("signal {name} was not sent"));
        }
    }

    /// Returns the resident memory of the process in KiB, 0 if it has ended.
    pub fn resident_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.process.try_wait().ok().flatten()
    }
}

impl Drop for EdgeNode {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        RUNNING_NODE.store(0, Ordering::Relaxed);
    }
}
