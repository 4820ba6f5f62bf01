//! The order in which queued requests are sent: by their remaining priority.

use crate::common::*;
use gateway_core::*;

#[test]
fn sends_request_within_objective_before_late_request() {
    let mut gateway = GatewayHarness::new(1, settings(0, 2), SECOND);
    gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
    gateway.advance(900 * MILLISECOND); // past its latency objective
    let within_objective = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
    gateway.update_endpoints(EndpointUpdate::Snapshot, vec![ready_endpoint(0)]);
    assert_eq!(gateway.in_flight[0].request, within_objective);
}
