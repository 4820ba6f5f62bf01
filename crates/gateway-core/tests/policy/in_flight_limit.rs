//! The conditions under which the in-flight limit of the lowest class starts.

use crate::common::*;
use gateway_core::*;

/// Returns whether the in-flight limit has started after requests of a plan have arrived faster
/// than they were served.
fn has_limit_after_overload(plan: PlanId) -> bool {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    for _ in 0..40 {
        gateway.request(NON_IDEMPOTENT, plan, CUSTOMER, 5 * SECOND);
    }
    for _ in 0..16 {
        gateway.advance(150 * MILLISECOND);
        // With a concurrency limit, attempts in flight are completed soon; without one, all of them
        // hang.
        if plan == TWO_CONCURRENT {
            gateway.complete_all();
        }
    }
    let is_objective_missed =
        |action: &Action| matches!(action, Action::Warn(Warning::ObjectiveMissed { .. }));
    gateway.actions.iter().any(is_objective_missed)
}

#[test]
fn in_flight_limit_starts_after_missed_objectives_but_not_under_concurrency_limit() {
    assert!(has_limit_after_overload(UNLIMITED));
    assert!(!has_limit_after_overload(TWO_CONCURRENT));
}
