//! When the in-flight limit of the lowest class starts.

use crate::common::*;
use gateway_core::*;

/// Whether the in-flight limit starts while requests of a plan come faster than they are served.
fn limit_starts(plan: PlanId) -> bool {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), S, 4);
    for _ in 0..40 {
        gateway.request(NON_IDEMPOTENT, plan, CUSTOMER, 5 * S);
    }
    for _ in 0..16 {
        gateway.advance(150 * MS);
        // With a concurrency limit, what is in flight is served soon; without one, all of it hangs.
        if plan == TWO_CONCURRENT {
            gateway.complete_all();
        }
    }
    let is_missed =
        |action: &Action| matches!(action, Action::Warn(Warning::ObjectiveMissed { .. }));
    gateway.actions.iter().any(is_missed)
}

#[test]
fn missed_objectives_start_the_in_flight_limit_and_a_concurrency_limit_does_not() {
    assert!(limit_starts(UNLIMITED));
    assert!(!limit_starts(TWO_CONCURRENT));
}
