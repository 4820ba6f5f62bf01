//! Case 2: a hold with an idempotency key is sent again after its window, over a connection that
//! came up late, and runs twice.

#[path = "../common.rs"]
mod common;
#[path = "../late.rs"]
mod late;

use common::*;
use late::LateListener;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// In every second round, the connection of the new loan server comes up late.
const ROUNDS: u64 = 16;
/// Requests between two rounds.
const USUAL_REQUESTS: u64 = 6;
/// How long loan servers remember a key, from the first attempt that may have run.
const WINDOW_MS: u64 = 450;
/// The slack of every time limit on sockets, and the time for which an edge node may be held up
/// between reading its clock and writing.
const SLACK_MS: u64 = 50 + 150;
/// The connect timeout of the site, and how late the connection of a new loan server comes up.
const CONNECT_TIMEOUT_MS: u64 = 400;
const LATE_MS: u64 = 350;
/// When, after it has begun to run a marked request, a loan server resets its connection.
const RESET_MS: u64 = 410;
/// How long before the reset the new loan server joins the list.
const JOIN_BEFORE_MS: u64 = 20;
/// Work of a loan server on one request.
const WORK_MS: (f64, f64) = (70.0, 120.0);
const DEADLINE_MS: u64 = 3000;

/// What the loan servers together know: they all recognise the keys of each other's requests.
#[derive(Default)]
struct Fleet {
    /// When each key was first seen.
    keys: BTreeMap<String, Instant>,
    /// Arrivals of each request that is marked to be reset: the loan server and the time since the
    /// first arrival in milliseconds.
    arrivals: BTreeMap<String, Vec<(String, u64)>>,
    runs: BTreeMap<String, u32>,
    /// Connections that came up late, and all.
    late_connections: u32,
    connections: u32,
    /// Informed when a marked request begins to run for the first time.
    marked: Option<Sender<()>>,
}

type SharedFleet = Arc<Mutex<Fleet>>;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("folder of the case"));
    let record = Record::create(&folder);
    let status = run(&record);
    std::process::exit(status);
}

fn settings() -> Settings {
    let class = |name, aim_ms: u64, deadline_ms: u64, repeat, worth: f64, late: f64, window_ms: u64| {
        format!(
            r#"{{"aimUs":{},"deadlineUs":{},"group":"all","lateValue":{late},"name":"{name}","repeat":"{repeat}","streamed":false,"windowUs":{},"worth":{worth}}}"#,
            aim_ms * 1000,
            deadline_ms * 1000,
            window_ms * 1000
        )
    };
    let mut settings = Settings::of_brief(DEADLINE_MS);
    settings.classes = [
        class("seat-quote", 600, 2500, "read_like", 1.0, 0.4, 6000),
        class("seat-hold", 900, DEADLINE_MS, "idempotency_key", 4.0, 0.0, WINDOW_MS),
        class("fare-charge", 1500, 5000, "non_idempotent", 7.0, 0.1, 6000),
    ]
    .join(",");
    settings.connect_timeout_us = CONNECT_TIMEOUT_MS * 1000;
    settings
}

fn run(record: &Record) -> i32 {
    let temp = TempFolder::create();
    let fleet = SharedFleet::default();
    let entries = (0..2).map(|number| {
        let name = format!("s-{number:08x}");
        let serve = server(&name, &fleet, record, false);
        Entry::ready(&name, listen(serve))
    });
    let discovery = Discovery::start(entries.collect());
    let node = EdgeNode::start(&temp, &settings(), &discovery);
    let mut usual = 0;
    for round in 0..ROUNDS {
        for _ in 0..USUAL_REQUESTS {
            usual += 1;
            let id = format!("{usual:016x}");
            if exchange(node.address, &id) != Some(200) {
                record.say(&format!("the usual request {id} was not served"));
                return NOT_RUN;
            }
        }
        thread::sleep(Duration::from_millis(20));
        play_round(round, node.address, &discovery, &fleet, record);
    }
    drop(node);
    let fleet = fleet.lock().expect("fleet");
    judge(&fleet, record)
}

/// Sends one hold, whose first attempt is reset after it has begun to run. Shortly before the
/// reset, a loan server joins the list.
fn play_round(
    round: u64,
    node: SocketAddr,
    discovery: &Discovery,
    fleet: &SharedFleet,
    record: &Record,
) {
    let (sender, has_begun) = mpsc::channel();
    fleet.lock().expect("fleet").marked = Some(sender);
    let id = marked_id(round);
    record.line(&format!("round {round}: client sends {id}"));
    let client = {
        let id = id.clone();
        thread::spawn(move || exchange(node, &id))
    };
    if has_begun.recv_timeout(Duration::from_secs(2)).is_ok() {
        let name = format!("s-new{round:05x}");
        let is_late = has_trouble() && round % 2 == 0;
        let serve = server(&name, fleet, record, is_late);
        let address = if is_late {
            let Some(listener) = LateListener::open() else {
                cannot_run("no late listener");
            };
            let address = listener.address;
            listener.open_late(Duration::from_secs(2), Duration::from_millis(LATE_MS), serve);
            address
        } else {
            listen(serve)
        };
        thread::sleep(Duration::from_millis(RESET_MS - JOIN_BEFORE_MS));
        discovery.change(Entry::ready(&name, address));
        record.line(&format!("round {round}: loan server {name} joins"));
        let status = client.join().ok().flatten();
        record.line(&format!("round {round}: client has {status:?}"));
        let mut gone = Entry::ready(&name, address);
        gone.health = "gone";
        discovery.change(gone);
        thread::sleep(Duration::from_millis(50));
    }
}

fn marked_id(round: u64) -> String {
    format!("feed{round:012x}")
}

fn is_marked(id: &str) -> bool {
    id.starts_with("feed")
}

/// Sends a hold on a new connection; returns the status of its answer.
fn exchange(node: SocketAddr, id: &str) -> Option<u16> {
    let request = ClientRequest {
        id: id.to_owned(),
        class: "seat-hold".to_owned(),
        customer: 1 + id.bytes().map(u64::from).sum::<u64>(),
        plan: "standard".to_owned(),
        deadline_ms: DEADLINE_MS,
        key: Some(format!("key-{id}")),
        is_read: false,
    };
    let mut client = Client::connect(node).ok()?;
    client.send(&request.text()).ok()?;
    let answer = client.receive(Duration::from_millis(DEADLINE_MS + 550)).ok()??;
    Some(answer.status())
}

/// Returns what a loan server does with a connection.
fn server(
    name: &str,
    fleet: &SharedFleet,
    record: &Record,
    is_late: bool,
) -> impl Fn(TcpStream) + Send + Sync + Clone + 'static {
    let (name, fleet, record) = (name.to_owned(), Arc::clone(fleet), record.clone());
    move |stream| {
        let _ = stream.set_nodelay(true);
        let mut state = fleet.lock().expect("fleet");
        state.connections += 1;
        state.late_connections += u32::from(is_late);
        drop(state);
        let _ = serve(stream, &name, &fleet, &record);
    }
}

fn serve(stream: TcpStream, name: &str, fleet: &SharedFleet, record: &Record) -> std::io::Result<()> {
    let mut random = Random::new(stream.peer_addr()?.port().into());
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("x-request-id").to_owned();
        let key = request.header("idempotency-key").to_owned();
        let now = Instant::now();
        let (is_first, is_known) = {
            let mut fleet = fleet.lock().expect("fleet");
            let is_first = !fleet.keys.contains_key(&key);
            let first = *fleet.keys.entry(key).or_insert(now);
            let since = (now - first).as_millis() as u64;
            let is_known = !is_first && since <= WINDOW_MS + SLACK_MS;
            let what = if is_known { "recognises" } else { "runs" };
            record.line(&format!("{name} {what} {id}, {since} ms after its first arrival"));
            if !is_known {
                *fleet.runs.entry(id.clone()).or_default() += 1;
            }
            if is_marked(&id) {
                let arrivals = fleet.arrivals.entry(id.clone()).or_default();
                arrivals.push((name.to_owned(), since));
                if let Some(sender) = fleet.marked.take() {
                    let _ = sender.send(());
                }
            }
            (is_first, is_known)
        };
        if is_first && is_marked(&id) {
            thread::sleep((now + Duration::from_millis(RESET_MS)).saturating_duration_since(Instant::now()));
            record.line(&format!("{name} has run {id}, and the connection breaks"));
            return Ok(());
        }
        if !is_known {
            thread::sleep(Duration::from_secs_f64(random.between(WORK_MS.0, WORK_MS.1) / 1e3));
        }
        writer.write_all(served(&format!("held: {id}")).as_bytes())?;
    }
    Ok(())
}

fn judge(fleet: &Fleet, record: &Record) -> i32 {
    let late = |arrivals: &&Vec<(String, u64)>| {
        arrivals.iter().any(|(_, since)| *since > WINDOW_MS + SLACK_MS)
    };
    for (id, arrivals) in &fleet.arrivals {
        record.line(&format!("{id}: {arrivals:?}"));
    }
    let repeated = fleet.arrivals.values().filter(|arrivals| arrivals.len() > 1).count();
    let outside = fleet.arrivals.values().filter(late).count();
    let twice = fleet.runs.values().filter(|count| **count > 1).count();
    record.say(&format!(
        "{} holds whose first attempt was reset; {repeated} were sent again, {outside} of them more than \
         {WINDOW_MS} + {SLACK_MS} ms after their first arrival; {twice} ran twice; {} of {} connections \
         came up late",
        fleet.arrivals.len(),
        fleet.late_connections,
        fleet.connections
    ));
    if repeated < 3 {
        record.say("too few requests were sent again");
        return NOT_RUN;
    }
    if outside > 0 { BROKEN } else { HELD }
}
