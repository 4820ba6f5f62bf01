//! Load shedding in a large fleet as its servers fill up.

use crate::common::*;
use gateway_core::*;

/// Number of requests that a full server reports as its load.
const FULL: f64 = 60.0;

#[test]
fn sheds_load_if_all_servers_report_full_load() {
    let mut gateway = GatewayHarness::sole_gateway(5, settings(0, LARGE_FLEET), SECOND, 8);
    let report = |full: u64| {
        (0..8).map(move |server| (ServerId(server), if server < full { FULL } else { 0.0 }))
    };
    gateway.reported_loads = report(2).collect();
    assert!(
        gateway
            .complete_sequential_requests(60, 100 * MILLISECOND)
            .len()
            >= 58,
        "two full servers of eight cause no shedding"
    );
    gateway.reported_loads = report(8).collect();
    gateway.complete_sequential_requests(30, 100 * MILLISECOND);
    let sent = gateway
        .complete_sequential_requests(60, 100 * MILLISECOND)
        .len();
    assert!(
        (1..30).contains(&sent),
        "all servers are full, and some requests are still sent to learn their load: {sent}"
    );
}
