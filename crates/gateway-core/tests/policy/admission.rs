//! What is rejected, and how that is counted.

use crate::common::*;
use gateway_core::*;

/// Counted by reason and plan, so that a bad day can be split by cause.
#[test]
fn rejections_are_counted_by_reason_and_plan() {
    let mut gateway = GatewayHarness::new(1, settings(0, 2), S);
    for _ in 0..5 {
        gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * S);
    }
    gateway.request(IDEMPOTENT, UNLIMITED, CustomerId(8), 5 * MS);
    gateway.advance(2 * S);
    let counted: Vec<_> = gateway.gateway.rejections().collect();
    let expected = [
        (RejectReason::DeadlineTooShort, UNLIMITED, 1),
        (RejectReason::QuotaExceeded, SMALL_QUOTA, 1),
        (RejectReason::QueueTimeout, SMALL_QUOTA, 4),
    ];
    assert_eq!(counted, expected);
}

#[test]
fn a_request_in_time_is_sent_before_a_late_one() {
    let mut gateway = GatewayHarness::new(1, settings(0, 2), S);
    gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * S);
    gateway.advance(900 * MS); // past its latency objective
    let in_time = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * S);
    gateway.update_endpoints(EndpointUpdate::Snapshot, vec![ready_endpoint(0)]);
    assert_eq!(gateway.in_flight[0].request, in_time);
}
