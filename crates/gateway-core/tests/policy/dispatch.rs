//! The order in which queued requests are sent, by their remaining priority.

use crate::common::*;
use gateway_core::*;

#[test]
fn a_request_in_time_is_sent_before_a_late_one() {
    let mut gateway = GatewayHarness::new(1, settings(0, 2), S);
    gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * S);
    gateway.advance(900 * MS); // past its latency objective
    let in_time = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * S);
    gateway.update_endpoints(EndpointUpdate::Snapshot, vec![ready_endpoint(0)]);
    assert_eq!(gateway.in_flight[0].request, in_time);
}
