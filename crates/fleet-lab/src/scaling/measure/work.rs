//! The cost of a gateway's work: requests, messages, timers, control ticks and updates of the list
//! of servers.

use super::figures::{local_figures, message_figures};
use crate::scaling::cost::Cost;
use crate::scaling::fleet::{CONTROL_TICK, MILLISECOND};
use crate::scaling::gateway_pair::{GatewayPair, MEASURED};
use crate::scaling::report::Figure;
use crate::scaling::sizes::FleetSizes;
use anyhow::{ensure, Result};
use gateway_core::EndpointUpdate;

/// Number of requests in a run. All of them together take less than half of the latency objective:
/// otherwise servers of requests that stay open would look hung, which costs more than the measured
/// work.
const REQUESTS: u64 = 80;
/// Number of timers, control ticks, changed entries or lists in a run.
const REPETITIONS: u64 = 10;

/// Measures a request at the gateway at which it arrives: the request, the owner's lease, one
/// attempt and its answer.
pub(super) fn measure_request(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut pair = GatewayPair::new(seed, sizes)?;
    for _ in 0..REQUESTS {
        pair.request()?;
    }
    Ok(message_figures(pair.take_costs().own, REQUESTS))
}

/// Measures a message from the peer that is not a lease grant: a lease request, which is answered,
/// or, in a small fleet, usage counts.
pub(super) fn measure_datagram(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut pair = GatewayPair::new(seed, sizes)?;
    for _ in 0..REQUESTS {
        pair.request()?;
    }
    pair.advance(pair.now + CONTROL_TICK);
    let cost = pair.take_costs().peer_messages;
    ensure!(cost.events > 0, "the peer sent no datagram");
    Ok(message_figures(cost, cost.events))
}

/// Measures one changed entry of the list: a server that starts to drain or becomes ready again.
pub(super) fn measure_endpoint_change(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut pair = GatewayPair::new(seed, sizes)?;
    let mut cost = Cost::default();
    for _ in 0..REPETITIONS {
        let endpoint = pair.change_endpoint();
        cost.add(pair.update_endpoints(EndpointUpdate::Delta, vec![endpoint]));
    }
    Ok(local_figures(cost, REPETITIONS))
}

/// Measures a snapshot of the whole list that contains one change.
pub(super) fn measure_snapshot(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut pair = GatewayPair::new(seed, sizes)?;
    let mut cost = Cost::default();
    for _ in 0..REPETITIONS {
        pair.change_endpoint();
        let endpoints = pair.endpoints.clone();
        cost.add(pair.update_endpoints(EndpointUpdate::Snapshot, endpoints));
    }
    Ok(local_figures(cost, REPETITIONS))
}

/// Measures a timer between two control ticks while requests are open.
pub(super) fn measure_timer(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    // In the other measurements, the measured request is one of the open requests. No request
    // arrives here, so one more request has to stay open.
    let sizes = FleetSizes {
        open_requests: sizes.open_requests + 1,
        ..sizes
    };
    let mut pair = GatewayPair::new(seed, sizes)?;
    let mut cost = Cost::default();
    for _ in 0..REPETITIONS {
        pair.now = pair.next_timer();
        cost.add(pair.fire_timer(MEASURED));
    }
    Ok(local_figures(cost, REPETITIONS))
}

/// Measures a control tick while no request is open.
pub(super) fn measure_control_tick(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut pair = GatewayPair::new(
        seed,
        FleetSizes {
            open_requests: 1,
            ..sizes
        },
    )?;
    let mut cost = Cost::default();
    for _ in 0..REPETITIONS {
        pair.now = pair.now + CONTROL_TICK + MILLISECOND;
        cost.add(pair.fire_timer(MEASURED));
    }
    Ok(local_figures(cost, REPETITIONS))
}
