//! Times a gateway of a large fleet by how many servers are listed: µs a request (the ask to its home, the grant, the
//! attempt and the wake-ups between, at two gateways that are each other's home), µs for an entry that changes, ms for
//! a whole list, and bytes for each server, as the process grows. A time is the least of some rounds, as whatever else
//! the machine does only adds to it.
//!
//! `cargo run --release --example server_table`

use edge_node::*;
use gateway_pair::{entry, whole, Pair};
use std::time::Instant;

#[path = "../tests/gateway_pair/mod.rs"]
mod gateway_pair;

const ROUNDS: usize = 5;
/// Requests of one round, a second's: so that each round holds the work of ticks.
const SECOND: u64 = 200;

/// µs for each of `count` steps.
fn timed(count: u64, mut step: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut step);
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// The least of some rounds.
fn least(mut round: impl FnMut() -> f64) -> f64 {
    (0..ROUNDS).map(|_| round()).fold(f64::INFINITY, f64::min)
}

/// Bytes that this process holds in memory.
fn held() -> anyhow::Result<f64> {
    let pages = std::fs::read_to_string("/proc/self/statm")?;
    let pages = pages.split_whitespace().nth(1).unwrap_or_default().parse::<f64>()?;
    Ok(pages * 4096.0)
}

fn main() -> anyhow::Result<()> {
    println!("servers | us a request | us a changed entry | ms a whole list | bytes a server");
    // The largest first, so that the process grows by it.
    for servers in [110_000, 20_000, 5_000, 1_000, 200, 60, 14] {
        let before = held()?;
        let mut pair = Pair::new(servers)?;
        let grown = (held()? - before) / 2.0 / servers as f64;
        let bytes = if servers == 110_000 { format!("{grown:.0}") } else { "-".to_owned() };
        let mut number = 0;
        let mut request = |pair: &mut Pair| {
            number += 1;
            pair.request(number);
        };
        timed(SECOND, |_| request(&mut pair));
        let a_request = least(|| timed(SECOND, |_| request(&mut pair)));
        let mut changed = 0;
        let change = |number: u64| {
            let entry = entry(number * 7919 % servers);
            let standing =
                if number.is_multiple_of(2) { EndpointState::Draining } else { EndpointState::Ready };
            let entries = vec![Endpoint { state: standing, ..entry }];
            Event::EndpointsUpdated { kind: EndpointUpdate::Delta, endpoints: entries }
        };
        let a_change = least(|| {
            let events: Vec<_> = (0..20).map(|step| change((changed + step) / 2 * 2 + step % 2)).collect();
            changed += 20;
            let mut events = events.into_iter();
            let gateway = &mut pair.gateways[0];
            timed(20, |_| {
                events.next().into_iter().for_each(|event| gateway.handle(pair.now, event, &mut Vec::new()))
            })
        });
        let a_list = least(|| {
            let mut event = Some(whole(servers));
            let gateway = &mut pair.gateways[1];
            timed(1, |_| {
                event.take().into_iter().for_each(|event| gateway.handle(pair.now, event, &mut Vec::new()))
            })
        }) / 1e3;
        println!("{servers:7} | {a_request:12.1} | {a_change:18.2} | {a_list:15.3} | {bytes}");
    }
    Ok(())
}
