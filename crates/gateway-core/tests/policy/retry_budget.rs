//! The retry budget, which first attempts earn.

use crate::common::*;
use gateway_core::*;
use AttemptOutcome::NotSent;

/// If every attempt fails, retries must not multiply the load.
#[test]
fn retries_are_bounded_by_the_budget_that_first_attempts_earn() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), S, 4);
    for _ in 0..60 {
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * S);
        while gateway.server_of(&id).is_some() {
            gateway.finish(&id, NotSent);
        }
    }
    let retries = gateway.sent_count() - 60;
    assert!(
        (20..=32).contains(&retries),
        "20 at the start and a fifth of 60: {retries}"
    );
}
