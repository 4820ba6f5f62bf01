//! Case 10: loan servers send a second copy of some answers, some milliseconds late.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The longest time between an answer and its second copy, in ms.
const LATEST_COPY_MS: u64 = 12;

fn main() {
    let mut env = Env::from_args();
    let random = Mutex::new(Random::new(env.random.next()));
    let record = env.record.clone();
    let trouble = env.trouble;
    // One answer in ten, of any loan server alike.
    let write_answer = move |received: &Received, stream: &mut std::net::TcpStream| {
        if !write_sound_answer(received, stream) {
            return false;
        }
        let late_ms = {
            let mut random = random.lock().unwrap();
            random.chance(0.1).then(|| random.range(1, LATEST_COPY_MS + 1))
        };
        let Some(late_ms) = late_ms.filter(|_| trouble) else { return true };
        std::thread::sleep(Duration::from_millis(late_ms));
        // Only when nothing else is waiting on the connection.
        let _ = stream.set_nonblocking(true);
        let is_quiet = matches!(stream.peek(&mut [0; 1]), Err(error) if error.kind() == ErrorKind::WouldBlock);
        let _ = stream.set_nonblocking(false);
        if !is_quiet {
            return true;
        }
        record.line(&format!("{}: second copy of the answer to {}, {late_ms} ms late", received.server, received.id));
        write_sound_answer(received, stream)
    };
    let servers = start_servers(&mut env, 14, Arc::new(write_answer));
    let mut hosts = servers.hosts.clone();
    for host in &mut hosts {
        // One way between two buildings: 1.4 to 2.6 ms.
        let delay = Duration::from_micros(env.random.range(1400, 2600));
        host.dial = start_path(host.dial, delay);
    }
    let discovery = Discovery::new(&env.record, hosts);
    let settings = Settings { nodes: 3, ..Settings::default() };
    let nodes = start_nodes(&env, &settings, &discovery);
    let load = Load {
        clients_per_node: 24,
        pause_ms: (20, 150),
        duration: Duration::from_secs(60),
        deadline_ms: (2000, 4000),
    };
    let outcomes = play_load(&mut env, &nodes, &load);
    drop(nodes);
    env.record.say(&summary(&outcomes));
    let executions = servers.executions.lock().unwrap();
    let mut foreign = 0;
    for outcome in &outcomes {
        let Ok(response) = &outcome.response else { continue };
        let runs = executions.get(&outcome.id).map_or(&[][..], Vec::as_slice);
        if response.status == 200 && !runs.iter().any(|(_, made)| made.as_bytes() == response.body) {
            foreign += 1;
            if foreign <= 5 {
                env.record.say(&format!(
                    "{} {} was served with {}",
                    outcome.class,
                    outcome.id,
                    String::from_utf8_lossy(&response.body)
                ));
            }
        }
    }
    env.record.say(&format!("served with the answer to another request: {foreign}"));
    std::process::exit(if foreign > 0 { BROKEN } else { HELD });
}
