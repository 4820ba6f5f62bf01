//! The invariants on scripted requests.

use fleet_lab::hybrid::invariant_result::InvariantResult;
use fleet_lab::hybrid::ledger::{Ledger, ANSWER_GRACE, SOCKET_TOLERANCE};
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
/// When ledgers are made and most requests are sent.
const START: Timestamp = Timestamp::EPOCH;
const FAILED: ReceivedAnswer = ReceivedAnswer::Genuine(FinalAnswer::Failed);

/// One customer with ten units a second and twenty at once, and a tolerance of five.
fn new_ledger() -> Ledger {
    let quota = Quota {
        rate: 10.0,
        burst: 20.0,
        tolerance: 5.0,
        tolerance_per_second: 0.0,
    };
    Ledger::new(
        START,
        DRAIN_GRACE,
        [CustomerQuota {
            customer: CUSTOMER,
            quota,
        }],
    )
}

fn send(ledger: &mut Ledger, now: Timestamp, id: &str, node: u32, units: f64) {
    let request = SentRequest {
        node: GatewayId(node),
        customer: CUSTOMER,
        units,
        is_non_idempotent: true,
        timeout: TIMEOUT,
    };
    ledger.request_sent(now, id.into(), request);
}

fn violations(ledger: &Ledger, invariant: &str) -> u64 {
    result_of(ledger, invariant).violations
}

fn result_of(ledger: &Ledger, invariant: &str) -> InvariantResult {
    let mut results = ledger.check().into_iter();
    let result = results.find(|result| result.invariant.contains(invariant));
    result.unwrap_or_else(|| panic!("an invariant on {invariant}"))
}

#[test]
fn a_quota_holds_over_all_nodes_together_up_to_its_tolerance() {
    let mut ledger = new_ledger();
    for (number, node) in [0, 1, 0, 1, 0].into_iter().enumerate() {
        let id = number.to_string();
        send(&mut ledger, START, &id, node, 5.0);
        ledger.attempt_arrived(START, &id, SERVER);
        // A further attempt of the same request consumes nothing.
        ledger.attempt_arrived(START, &id, SERVER);
    }
    assert_eq!(result_of(&ledger, "quotas").checked, 1);
    assert_eq!(
        violations(&ledger, "quotas"),
        0,
        "the burst and the tolerance"
    );
    let refilled = START + Duration::from_millis(100);
    send(&mut ledger, refilled, "filled", 1, 1.0);
    ledger.attempt_arrived(refilled, "filled", SERVER);
    assert_eq!(
        violations(&ledger, "quotas"),
        0,
        "what has been refilled meanwhile"
    );
    send(&mut ledger, refilled, "over", 0, 0.5);
    assert_eq!(
        violations(&ledger, "quotas"),
        0,
        "no attempt has arrived yet"
    );
    ledger.attempt_arrived(refilled, "over", SERVER);
    assert_eq!(violations(&ledger, "quotas"), 1);
}

#[test]
fn an_unused_quota_accumulates_no_more_than_its_burst() {
    let mut ledger = new_ledger();
    let later = START + Duration::from_secs(3_600);
    send(&mut ledger, later, "all", 0, 25.0);
    ledger.attempt_arrived(later, "all", SERVER);
    assert_eq!(violations(&ledger, "quotas"), 0);
    send(&mut ledger, later, "more", 0, 0.1);
    ledger.attempt_arrived(later, "more", SERVER);
    assert_eq!(violations(&ledger, "quotas"), 1);
}

#[test]
fn each_request_has_one_answer_in_time() {
    let mut ledger = new_ledger();
    let last = START + TIMEOUT + ANSWER_GRACE;
    for (id, answers) in [
        ("one", &[last][..]),
        ("none", &[]),
        ("two", &[START + MICROSECOND, START + 2 * MICROSECOND]),
        ("late", &[last + MICROSECOND]),
    ] {
        send(&mut ledger, START, id, 0, 1.0);
        for at in answers {
            ledger.answered(*at, id, FAILED);
        }
    }
    let result = result_of(&ledger, "final answer");
    assert_eq!(
        (result.checked, result.violations),
        (4, 3),
        "{}",
        result.details
    );
}

#[test]
fn a_non_idempotent_request_may_run_once() {
    let mut ledger = new_ledger();
    send(&mut ledger, START, "pay", 0, 1.0);
    ledger.execution_started("pay");
    assert_eq!(violations(&ledger, "unsafe"), 0);
    ledger.execution_started("pay");
    assert_eq!(violations(&ledger, "unsafe"), 1);
}

#[test]
fn no_attempt_may_be_sent_to_a_draining_server_after_the_grace_period() {
    let mut ledger = new_ledger();
    ledger.endpoint_received(
        START + 1_000 * MICROSECOND,
        GatewayId(0),
        SERVER,
        EndpointState::Draining,
    );
    // The first time counts.
    ledger.endpoint_received(
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
        send(&mut ledger, START, id, node, 1.0);
        let arrived_at = START + at * MICROSECOND + DRAIN_GRACE + SOCKET_TOLERANCE;
        ledger.attempt_arrived(arrived_at, id, SERVER);
    }
    let result = result_of(&ledger, "leaves");
    assert_eq!(
        (result.checked, result.violations),
        (1, 1),
        "{}",
        result.details
    );
    ledger.endpoint_received(
        START + 3_000 * MICROSECOND,
        GatewayId(0),
        SERVER,
        EndpointState::Ready,
    );
    send(&mut ledger, START, "back", 0, 1.0);
    ledger.attempt_arrived(Timestamp::from_micros(u64::MAX / 2), "back", SERVER);
    assert_eq!(violations(&ledger, "leaves"), 1, "it is ready again");
}

#[test]
fn unknown_requests_and_forged_answers_are_violations() {
    let mut ledger = new_ledger();
    assert_eq!(ledger.attempt_arrived(START, "unknown", SERVER), None);
    send(&mut ledger, START, "read", 0, 2.0);
    assert_eq!(ledger.attempt_arrived(START, "read", SERVER), Some(2.0));
    assert_eq!(violations(&ledger, "only what clients sent"), 1);
    ledger.answered(START, "read", ReceivedAnswer::Forged);
    assert_eq!(violations(&ledger, "only what clients sent"), 2);
}
