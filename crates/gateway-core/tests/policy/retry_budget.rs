//! The retry budget, which grows with each first attempt.

use crate::common::*;
use gateway_core::*;
use AttemptOutcome::NotSent;

/// If every attempt fails, retries must not multiply the load.
#[test]
fn retry_budget_bounds_retries_if_every_attempt_fails() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    for _ in 0..60 {
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
        while gateway.server_of(&id).is_some() {
            gateway.finish(&id, NotSent);
        }
    }
    let retries = gateway.sent_count() - 60;
    assert!(
        (20..=32).contains(&retries),
        "{retries} retries; the budget is 20 at the start and a fifth of 60 first attempts"
    );
}
