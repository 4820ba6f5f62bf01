//! The limit on customers whose state is kept: a flood of customer names must neither take memory
//! without end nor give any customer its quota again.

use crate::common::*;
use gateway_core::*;

/// Number of customers whose state is kept.
const LIMIT: usize = 3;
/// Longest time for which a request may wait.
const LONGEST_DEADLINE: Micros = 4 * SECOND;

/// Returns a gateway with [`LIMIT`] that receives all requests of its customers.
fn limited_gateway() -> GatewayHarness {
    let mut harness = GatewayHarness::sole_gateway(0, settings(0, 2), SECOND, 4);
    harness.gateway.set_customer_limit(CustomerLimit {
        entries: LIMIT,
        longest_deadline: std::time::Duration::from_micros(LONGEST_DEADLINE),
    });
    harness
}

/// Receives a request of a customer and completes it if it is sent. Returns whether it was sent.
fn is_served(harness: &mut GatewayHarness, plan: PlanId, customer: u64) -> bool {
    harness.request_and_complete(IDEMPOTENT, plan, CustomerId(customer), 2 * SECOND)
}

#[test]
fn unknown_customers_are_rejected_at_limit_and_known_ones_are_served() {
    let mut harness = limited_gateway();
    for customer in 0..LIMIT as u64 {
        assert!(is_served(&mut harness, UNLIMITED, customer));
    }
    let entries = harness.gateway.tracked_entries();
    for customer in 10..2000 {
        assert!(!is_served(&mut harness, UNLIMITED, customer));
    }
    assert_eq!(harness.gateway.tracked_entries(), entries);
    assert!(is_served(&mut harness, UNLIMITED, 0));
    let rejections: Vec<_> = harness.gateway.rejections().collect();
    assert_eq!(
        rejections,
        [(RejectReason::TooManyCustomers, UNLIMITED, 1990)]
    );
}

#[test]
fn customers_with_full_quota_are_forgotten_at_limit_after_longest_deadline() {
    let mut harness = limited_gateway();
    for customer in 0..LIMIT as u64 {
        assert!(is_served(&mut harness, UNLIMITED, customer));
    }
    harness.now += LONGEST_DEADLINE - 1;
    assert!(!is_served(&mut harness, UNLIMITED, 10), "too early");
    harness.now += SECOND;
    assert!(is_served(&mut harness, UNLIMITED, 10));
}

/// Guards against customers that get their quota again because other names have displaced them.
#[test]
fn customers_that_have_used_their_quota_are_not_forgotten_at_limit() {
    let mut harness = limited_gateway();
    while is_served(&mut harness, SMALL_QUOTA, 0) {}
    for customer in 10..500 {
        is_served(&mut harness, UNLIMITED, customer);
    }
    assert!(!is_served(&mut harness, SMALL_QUOTA, 0));
}
