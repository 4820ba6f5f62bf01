//! What is shed in a large fleet as its servers fill: the lowest priority first.

use crate::common::*;
use gateway_core::*;

/// Requests that each full server reports.
const FULL: f64 = 60.0;

#[test]
fn a_large_fleet_sheds_by_reported_load() {
    let mut gateway = GatewayHarness::sole_gateway(5, settings(0, LARGE_FLEET), S, 8);
    let report = |full: u64| {
        (0..8).map(move |server| (ServerId(server), if server < full { FULL } else { 0.0 }))
    };
    gateway.reported_loads = report(2).collect();
    assert!(
        gateway.complete_sequential_requests(60, 100 * MS).len() >= 58,
        "two of eight are full"
    );
    gateway.reported_loads = report(8).collect();
    gateway.complete_sequential_requests(30, 100 * MS);
    let sent = gateway.complete_sequential_requests(60, 100 * MS).len();
    assert!(
        (1..30).contains(&sent),
        "all are full, yet some are sent so that loads are reported: {sent}"
    );
}
