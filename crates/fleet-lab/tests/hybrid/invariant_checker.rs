//! Tests of the invariant checker for runs over sockets, on scripted requests.

use fleet_lab::hybrid::invariant_checker::{
    SocketInvariantChecker, ANSWER_GRACE, SOCKET_TOLERANCE,
};
use fleet_lab::hybrid::invariant_result::InvariantResult;
use fleet_lab::hybrid::observed_request::{ReceivedAnswer, SentRequest};
use fleet_lab::hybrid::quotas::{CustomerQuota, Quota};
use fleet_lab::world::final_answer::FinalAnswer;
use gateway_core::{CustomerId, EndpointState, GatewayId, ServerId, Timestamp};
use std::time::Duration;

const CUSTOMER: CustomerId = CustomerId(7);
const SERVER: ServerId = ServerId(3);
const MICROSECOND: Duration = Duration::from_micros(1);
const DRAIN_GRACE: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time at which each checker is created and most requests are sent.
const START: Timestamp = Timestamp::EPOCH;
const FAILED: ReceivedAnswer = ReceivedAnswer::Genuine(FinalAnswer::Failed);

/// Returns a checker with one customer, whose quota is 10 units per second with a burst of 20 units
/// and a tolerance of 5 units.
fn new_checker() -> SocketInvariantChecker {
    let quota = Quota {
        rate: 10.0,
        burst: 20.0,
        tolerance: 5.0,
        tolerance_per_second: 0.0,
    };
    SocketInvariantChecker::new(
        START,
        DRAIN_GRACE,
        [CustomerQuota {
            customer: CUSTOMER,
            quota,
        }],
    )
}

/// Records that a client of [`CUSTOMER`] has sent a non-idempotent request to a node.
fn record_sent_request(
    checker: &mut SocketInvariantChecker,
    now: Timestamp,
    id: &str,
    node: u32,
    units: f64,
) {
    let request = SentRequest {
        node: GatewayId(node),
        customer: CUSTOMER,
        units,
        is_non_idempotent: true,
        timeout: TIMEOUT,
    };
    checker.request_sent(now, id.into(), request);
}

/// Returns the number of violations of the invariant whose statement contains `statement_part`.
fn violations(checker: &SocketInvariantChecker, statement_part: &str) -> u64 {
    result_of(checker, statement_part).violations
}

/// Returns the result for the invariant whose statement contains `statement_part`.
fn result_of(checker: &SocketInvariantChecker, statement_part: &str) -> InvariantResult {
    let mut results = checker.check().into_iter();
    let result = results.find(|result| result.invariant.contains(statement_part));
    result.unwrap_or_else(|| panic!("no invariant whose statement contains {statement_part:?}"))
}

#[test]
fn quota_applies_to_sum_over_nodes_plus_tolerance() {
    let mut checker = new_checker();
    for (number, node) in [0, 1, 0, 1, 0].into_iter().enumerate() {
        let id = number.to_string();
        record_sent_request(&mut checker, START, &id, node, 5.0);
        checker.attempt_arrived(START, &id, SERVER);
        // A second attempt of the same request consumes no units.
        checker.attempt_arrived(START, &id, SERVER);
    }
    assert_eq!(result_of(&checker, "quotas").checked, 1);
    assert_eq!(
        violations(&checker, "quotas"),
        0,
        "the burst plus the tolerance is permitted"
    );
    let refilled = START + Duration::from_millis(100);
    record_sent_request(&mut checker, refilled, "filled", 1, 1.0);
    checker.attempt_arrived(refilled, "filled", SERVER);
    assert_eq!(
        violations(&checker, "quotas"),
        0,
        "units that were refilled since are permitted"
    );
    record_sent_request(&mut checker, refilled, "over", 0, 0.5);
    assert_eq!(
        violations(&checker, "quotas"),
        0,
        "no attempt has arrived yet"
    );
    checker.attempt_arrived(refilled, "over", SERVER);
    assert_eq!(violations(&checker, "quotas"), 1);
}

#[test]
fn unused_quota_accumulates_up_to_its_burst() {
    let mut checker = new_checker();
    let later = START + Duration::from_secs(3_600);
    record_sent_request(&mut checker, later, "all", 0, 25.0);
    checker.attempt_arrived(later, "all", SERVER);
    assert_eq!(violations(&checker, "quotas"), 0);
    record_sent_request(&mut checker, later, "more", 0, 0.1);
    checker.attempt_arrived(later, "more", SERVER);
    assert_eq!(violations(&checker, "quotas"), 1);
}

#[test]
fn missing_repeated_and_late_answers_are_violations() {
    let mut checker = new_checker();
    let latest_in_time = START + TIMEOUT + ANSWER_GRACE;
    for (id, answers) in [
        ("one", &[latest_in_time][..]),
        ("none", &[]),
        ("two", &[START + MICROSECOND, START + 2 * MICROSECOND]),
        ("late", &[latest_in_time + MICROSECOND]),
    ] {
        record_sent_request(&mut checker, START, id, 0, 1.0);
        for at in answers {
            checker.answered(*at, id, FAILED);
        }
    }
    let result = result_of(&checker, "final answer");
    assert_eq!(
        (result.checked, result.violations),
        (4, 3),
        "{}",
        result.details
    );
}

#[test]
fn second_execution_of_non_idempotent_request_is_violation() {
    let mut checker = new_checker();
    record_sent_request(&mut checker, START, "pay", 0, 1.0);
    checker.attempt_accepted("pay");
    assert_eq!(violations(&checker, "unsafe"), 0);
    checker.attempt_accepted("pay");
    assert_eq!(violations(&checker, "unsafe"), 1);
}

#[test]
fn attempt_to_draining_server_after_grace_is_violation() {
    let mut checker = new_checker();
    checker.endpoint_received(
        START + 1_000 * MICROSECOND,
        GatewayId(0),
        SERVER,
        EndpointState::Draining,
    );
    // The drain grace starts when the node first learns that the server is draining.
    checker.endpoint_received(
        START + 2_000 * MICROSECOND,
        GatewayId(0),
        SERVER,
        EndpointState::Draining,
    );
    for (id, node, at) in [
        ("last", 0, 1_000),
        ("unaware", 1, 9_000),
        ("after", 0, 1_001),
    ] {
        record_sent_request(&mut checker, START, id, node, 1.0);
        let arrived_at = START + at * MICROSECOND + DRAIN_GRACE + SOCKET_TOLERANCE;
        checker.attempt_arrived(arrived_at, id, SERVER);
    }
    let result = result_of(&checker, "leaves");
    assert_eq!(
        (result.checked, result.violations),
        (1, 1),
        "{}",
        result.details
    );
    checker.endpoint_received(
        START + 3_000 * MICROSECOND,
        GatewayId(0),
        SERVER,
        EndpointState::Ready,
    );
    record_sent_request(&mut checker, START, "back", 0, 1.0);
    checker.attempt_arrived(Timestamp::from_micros(u64::MAX / 2), "back", SERVER);
    assert_eq!(
        violations(&checker, "leaves"),
        1,
        "the server is ready again"
    );
}

#[test]
fn unknown_requests_and_forged_answers_are_violations() {
    let mut checker = new_checker();
    assert_eq!(checker.attempt_arrived(START, "unknown", SERVER), None);
    record_sent_request(&mut checker, START, "read", 0, 2.0);
    assert_eq!(checker.attempt_arrived(START, "read", SERVER), Some(2.0));
    assert_eq!(violations(&checker, "only what clients sent"), 1);
    checker.answered(START, "read", ReceivedAnswer::Forged);
    assert_eq!(violations(&checker, "only what clients sent"), 2);
}
