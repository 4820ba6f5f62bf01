//! Case 7: loan servers send some answers whose length does not fit: the stated length is shorter
//! than the answer.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::{Arc, Mutex};

fn main() {
    let mut env = Env::from_args();
    let random = Mutex::new(Random::new(env.random.next()));
    let record = env.record.clone();
    let trouble = env.trouble;
    // One answer in ten, of any loan server alike.
    let write_answer = move |received: &Received, stream: &mut std::net::TcpStream| {
        let is_spoilt = trouble && random.lock().unwrap().chance(0.1);
        if !is_spoilt {
            return write_sound_answer(received, stream);
        }
        let stated = received.made.len() / 2;
        record.line(&format!(
            "{}: spoilt answer to {}: length {stated} in place of {}",
            received.server,
            received.id,
            received.made.len()
        ));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {stated}\r\nX-Load: inflight={}\r\n\r\n{}",
            received.inflight, received.made
        );
        let _ = stream.write_all(answer.as_bytes());
        // The connection remains open and is of no further use.
        std::thread::sleep(std::time::Duration::from_secs(30));
        false
    };
    let servers = start_servers(&mut env, 10, Arc::new(write_answer));
    let discovery = Discovery::new(&env.record, servers.hosts.clone());
    let settings = Settings {
        nodes: 3,
        ..Settings::default()
    };
    let nodes = start_nodes(&env, &settings, &discovery);
    let load = Load {
        clients_per_node: 8,
        pause_ms: (50, 250),
        duration: std::time::Duration::from_secs(15),
        deadline_ms: (2000, 4000),
    };
    let outcomes = play_load(&mut env, &nodes, &load);
    drop(nodes);
    env.record.say(&summary(&outcomes));
    let executions = servers.executions.lock().unwrap();
    let mut wrong = 0;
    for outcome in &outcomes {
        let Ok(response) = &outcome.response else {
            continue;
        };
        let runs = executions.get(&outcome.id).map_or(&[][..], Vec::as_slice);
        if response.status == 200
            && !runs
                .iter()
                .any(|(_, made)| made.as_bytes() == response.body)
        {
            wrong += 1;
            if wrong <= 5 {
                env.record.say(&format!(
                    "{} {} was served with {:?}; the answer made for it: {:?}",
                    outcome.class,
                    outcome.id,
                    String::from_utf8_lossy(&response.body),
                    runs.first().map_or("none", |(_, made)| made)
                ));
            }
        }
    }
    env.record.say(&format!(
        "served with something other than the answer made for the request: {wrong}"
    ));
    std::process::exit(if wrong > 0 { BROKEN } else { HELD });
}
