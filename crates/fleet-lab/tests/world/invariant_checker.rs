//! Tests of the invariant checker of the simulation.

use crate::common::{clients, endpoint, settings, MICROSECOND, MILLISECOND};
use fleet_lab::world::cold_start::ColdStartLoad;
use fleet_lab::world::customer_account::CustomerPlan;
use fleet_lab::world::final_answer::FinalAnswer;
use fleet_lab::world::invariant::Invariant;
use fleet_lab::world::invariant_checker::{InvariantChecker, SentAttempt};
use fleet_lab::world::request_counts::RequestCounts;
use fleet_lab::world::{RequestNumber, START};
use gateway_core::{
    AttemptNumber, AttemptOutcome, ClassId, CustomerId, GatewayId, PlanId, ServerId, Timestamp,
};

fn new_checker() -> InvariantChecker {
    let customers = [
        CustomerPlan {
            customer: CustomerId(1),
            plan: PlanId(0),
        },
        CustomerPlan {
            customer: CustomerId(2),
            plan: PlanId(2),
        },
    ];
    InvariantChecker::new(settings(), 500 * MILLISECOND, customers).expect("create checker")
}

fn sent_attempt(
    gateway: u32,
    request: RequestNumber,
    server: u64,
    draining_since: Option<Timestamp>,
) -> SentAttempt {
    SentAttempt {
        gateway: GatewayId(gateway),
        request,
        server: endpoint(server, None),
        draining_since,
    }
}

#[test]
fn crash_is_violation_only_if_gateways_knew_of_start() {
    let mut checker = new_checker();
    let load = |fraction| ColdStartLoad {
        calls: 9.0,
        start_known_fraction: fraction,
        ..ColdStartLoad::default()
    };
    checker.server_crashed(START, ServerId(1), load(0.6));
    assert!(checker.violations.is_empty());
    checker.server_crashed(START, ServerId(1), load(0.7));
    assert_eq!(checker.violations[&Invariant::ColdStart].count, 1);
}

#[test]
fn counts_quota_and_hard_limit_over_all_gateways_with_tolerance() {
    let mut checker = new_checker();
    let mut request = clients(50.0).new_request(START, 0);
    // The hard limit of the large plan is 172 units and its tolerance a tenth of that: 189.2 units
    // are allowed at once.
    request.customer = 1;
    request.estimated_units = 1.0;
    request.actual_units = 1.0;
    for count in 0..190 {
        let number = checker.request_arrived(START, request.clone());
        assert!(
            checker.violations.is_empty(),
            "violation after {count} requests"
        );
        checker.attempt_sent(START, sent_attempt(count % 6, number, 1, None));
    }
    assert_eq!(checker.violations[&Invariant::HardLimit].count, 1);
    let second = checker.statistics.seconds[0];
    assert_eq!(
        (second.sent_units, second.over_quota_units),
        (190.0, 190.0 - 97.0)
    );
}

#[test]
fn resending_non_idempotent_request_is_violation_unless_proved_unexecuted() {
    for (outcome, is_violation) in [
        (AttemptOutcome::Overloaded, false),
        (AttemptOutcome::ConnectionLost, true),
    ] {
        let mut checker = new_checker();
        let mut request = clients(50.0).new_request(START, 0);
        request.customer = 0;
        request.class = ClassId(1);
        let number = checker.request_arrived(START, request);
        assert!(checker.attempt_sent(START, sent_attempt(0, number, 1, None)));
        checker.attempt_finished(number, AttemptNumber(0), outcome);
        assert!(checker.attempt_sent(START, sent_attempt(0, number, 2, None)));
        assert_eq!(
            checker.violations.contains_key(&Invariant::Idempotency),
            is_violation,
            "{outcome:?}"
        );
        assert!(
            checker.answered(START, number, FinalAnswer::Failed)
                && !checker.answer_overdue(START, number)
        );
        assert!(!checker.answered(START, number, FinalAnswer::Failed));
        assert_eq!(checker.violations[&Invariant::AnsweredTwice].count, 1);
        let counts = RequestCounts {
            arrived: 1,
            failed: 1,
            ..RequestCounts::default()
        };
        assert_eq!(checker.statistics.counts[1][0], counts);
    }
}

#[test]
fn attempt_at_draining_server_is_violation_after_drain_grace() {
    for (late, is_violation) in [
        (500 * MILLISECOND, false),
        (500 * MILLISECOND + MICROSECOND, true),
    ] {
        let mut checker = new_checker();
        let mut request = clients(50.0).new_request(START, 0);
        request.customer = 0;
        let number = checker.request_arrived(START + late, request);
        checker.attempt_sent(START + late, sent_attempt(0, number, 1, Some(START)));
        assert_eq!(
            checker.violations.contains_key(&Invariant::Drain),
            is_violation
        );
    }
}
