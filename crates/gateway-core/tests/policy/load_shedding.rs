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

/// Returns how many of 50 requests with this timeout are sent while every server holds so many
/// requests that an answer takes about 0.3 s.
fn count_sent_to_busy_servers(client_timeout: Micros) -> usize {
    let mut gateway = GatewayHarness::sole_gateway(5, settings(0, LARGE_FLEET), SECOND, 8);
    gateway.reported_loads = (0..8).map(|server| (ServerId(server), 3.0)).collect();
    gateway.complete_sequential_requests(10, 100 * MILLISECOND);
    let sent = (0..50)
        .filter(|_| gateway.request_and_complete(IDEMPOTENT, UNLIMITED, CUSTOMER, client_timeout));
    sent.count()
}

/// Busy servers can still answer a client that waits for 8 s, but hardly one that waits for 0.5 s.
#[test]
fn sheds_requests_whose_clients_wait_shorter_than_busy_servers_need() {
    let sent_with_long_timeout = count_sent_to_busy_servers(8 * SECOND);
    let sent_with_short_timeout = count_sent_to_busy_servers(SECOND / 2);
    assert_eq!(sent_with_long_timeout, 50);
    assert!(sent_with_short_timeout < 20, "{sent_with_short_timeout}");
}
