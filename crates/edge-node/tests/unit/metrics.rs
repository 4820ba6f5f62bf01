//! Tests the metric labels of outcomes, and the counters.

use super::*;

/// Operators' dashboards read these label values.
#[test]
fn each_outcome_has_its_own_label() {
    let requests = RequestOutcome::ALL.map(RequestOutcome::label);
    assert_eq!(requests, ["served", "refused", "failed", "abandoned"]);
    let attempts = ATTEMPT_OUTCOMES.map(attempt_label);
    let expected = [
        "ok",
        "error",
        "full",
        "timed_out",
        "unreachable",
        "broken",
        "cancelled",
        "not_sent",
    ];
    assert_eq!(attempts, expected);
}

#[test]
fn increment_changes_only_the_counter_of_the_outcome() {
    let counters: [Counter; 4] = Default::default();
    increment(&counters, &RequestOutcome::ALL, RequestOutcome::Failed);
    assert_eq!(counters.map(|counter| counter.get()), [0, 0, 1, 0]);
}

#[test]
fn raise_to_never_lowers_the_counter() {
    let counter = Counter::default();
    raise_to(&counter, 5);
    raise_to(&counter, 3);
    assert_eq!(counter.get(), 5);
    raise_to(&counter, 8);
    assert_eq!(counter.get(), 8);
}
