//! Measures the cost of a gateway of a large fleet for endpoint lists of several lengths:
//!
//! - µs per request: the lease request to its quota owner, the grant, the attempt and the timers in
//!   between, at two gateways that own each other's quotas;
//! - µs per changed entry;
//! - ms per whole list;
//! - bytes per server, by the growth of the process.
//!
//! Each time is the minimum of several rounds, because other work on the machine only adds to it.
//!
//! Run with `cargo run --release --example server_table`.

use gateway_core::*;
use gateway_pair::{delta, endpoint, snapshot, GatewayPair};
use std::time::Instant;

// Some items are used only by the tests.
#[allow(dead_code)]
#[path = "../tests/gateway_pair/mod.rs"]
mod gateway_pair;

const ROUNDS: usize = 5;
/// Requests per round: those of one second, so that each round includes the work of control ticks.
const REQUESTS: u64 = 200;
/// Changed entries per round.
const CHANGES: u64 = 20;
/// Lengths of the endpoint list. The longest is first, because only its memory makes the process
/// grow: shorter lists reuse that memory.
const SERVER_COUNTS: [u64; 7] = [110_000, 20_000, 5_000, 1_000, 200, 60, 14];
/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

fn main() -> anyhow::Result<()> {
    println!("servers | us a request | us a changed entry | ms a whole list | bytes a server");
    for servers in SERVER_COUNTS {
        let memory_before = resident_bytes()?;
        let mut pair = GatewayPair::new(servers)?;
        let bytes_per_server = (resident_bytes()? - memory_before) / 2.0 / servers as f64;
        let bytes = if servers == SERVER_COUNTS[0] {
            format!("{bytes_per_server:.0}")
        } else {
            "-".to_owned()
        };
        let request_us = time_request(&mut pair);
        let change_us = time_change(&mut pair, servers);
        let list_ms = time_list(&mut pair, servers) / 1e3;
        println!("{servers:7} | {request_us:12.1} | {change_us:18.2} | {list_ms:15.3} | {bytes}");
    }
    Ok(())
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> anyhow::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .unwrap_or_default()
        .parse::<f64>()?;
    Ok(pages * PAGE_BYTES)
}

/// Applies `step` to each item, and returns the mean time per item, in µs.
fn time_each<T>(items: Vec<T>, mut step: impl FnMut(T)) -> f64 {
    let count = items.len() as f64;
    let started = Instant::now();
    for item in items {
        step(item);
    }
    started.elapsed().as_secs_f64() * 1e6 / count
}

/// Runs [`ROUNDS`] rounds, and returns the smallest result.
fn minimum_of_rounds(mut round: impl FnMut() -> f64) -> f64 {
    (0..ROUNDS).map(|_| round()).fold(f64::INFINITY, f64::min)
}

/// Returns the time per request, in µs, after a round of requests that fills the gateways'
/// estimates of the servers.
fn time_request(pair: &mut GatewayPair) -> f64 {
    let mut last_number = 0;
    let mut round = || {
        let numbers = (last_number + 1..=last_number + REQUESTS).collect();
        last_number += REQUESTS;
        time_each(numbers, |number| pair.send_request(number))
    };
    round();
    minimum_of_rounds(round)
}

/// Returns the time per changed entry, in µs. Servers drain and become ready in turn.
fn time_change(pair: &mut GatewayPair, servers: u64) -> f64 {
    let mut first_number = 0;
    minimum_of_rounds(|| {
        let numbers = first_number..first_number + CHANGES;
        first_number += CHANGES;
        let changes = numbers.map(|number| change(number, servers)).collect();
        let now = pair.now;
        time_each(changes, |event| {
            pair.gateways[0].handle(now, event, &mut Vec::new());
        })
    })
}

fn change(number: u64, servers: u64) -> Event {
    let is_draining = number.is_multiple_of(2);
    let state = if is_draining {
        EndpointState::Draining
    } else {
        EndpointState::Ready
    };
    delta(vec![Endpoint {
        state,
        ..endpoint(number * 7919 % servers)
    }])
}

/// Returns the time for a whole list, in µs.
fn time_list(pair: &mut GatewayPair, servers: u64) -> f64 {
    let now = pair.now;
    minimum_of_rounds(|| {
        time_each(vec![snapshot(servers)], |event| {
            pair.gateways[1].handle(now, event, &mut Vec::new());
        })
    })
}
