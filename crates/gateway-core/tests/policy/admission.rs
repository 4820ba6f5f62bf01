//! The counts of rejections.

use crate::common::*;
use gateway_core::*;

/// Operators use these counts to tell the causes of rejections apart.
#[test]
fn counts_rejections_by_reason_and_plan() {
    let mut gateway = GatewayHarness::new(1, settings(0, 2), SECOND);
    for _ in 0..5 {
        gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * SECOND);
    }
    gateway.request(IDEMPOTENT, UNLIMITED, CustomerId(8), 5 * MILLISECOND);
    gateway.advance(2 * SECOND);
    let counted: Vec<_> = gateway.gateway.rejections().collect();
    let expected = [
        (RejectReason::DeadlineTooShort, UNLIMITED, 1),
        (RejectReason::QuotaExceeded, SMALL_QUOTA, 1),
        (RejectReason::QueueTimeout, SMALL_QUOTA, 4),
    ];
    assert_eq!(counted, expected);
}
