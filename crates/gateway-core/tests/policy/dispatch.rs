//! The order in which queued requests are sent: by priority, then by the time that their clients have
//! left.

use crate::common::*;
use gateway_core::*;

/// Makes one server available and returns the queued request that is sent first.
fn first_sent(gateway: &mut GatewayHarness) -> RequestId {
    gateway.update_endpoints(EndpointUpdate::Snapshot, vec![ready_endpoint(0)]);
    gateway.in_flight[0].request.clone()
}

/// The client that has waited longest, past the latency objective, has the least time left. A new
/// request can wait.
#[test]
fn sends_request_that_has_waited_past_its_objective_before_new_request() {
    for late_weight in [0.0, 0.2] {
        let settings = SettingsBuilder::new(0, 2).late_weight(late_weight).build();
        let mut gateway = GatewayHarness::new(1, settings, SECOND);
        let waiting = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
        gateway.advance(900 * MILLISECOND); // past its latency objective
        gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
        assert_eq!(first_sent(&mut gateway), waiting);
    }
}

/// A client with little time left cannot wait for the others, whose time still suffices afterwards.
#[test]
fn sends_request_with_least_time_left_first() {
    let mut gateway = GatewayHarness::new(1, settings(0, 2), SECOND);
    gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
    gateway.advance(100 * MILLISECOND);
    let urgent = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, SECOND);
    assert_eq!(first_sent(&mut gateway), urgent);
}

/// While servers are short, the design has requests of low worth refused first, so those of a higher
/// worth are sent first, however long the others have waited.
#[test]
fn sends_request_of_higher_priority_first() {
    let mut gateway = GatewayHarness::new(1, settings(0, 2), SECOND);
    gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, SECOND);
    gateway.advance(500 * MILLISECOND);
    let valuable = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
    assert_eq!(first_sent(&mut gateway), valuable);
}
