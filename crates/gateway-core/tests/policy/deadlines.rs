//! For how long requests wait, and when they are rejected because their time is too short.

use crate::common::*;
use gateway_core::*;
use std::time::Duration;

/// Late weights with which the tests below run: what a late answer is worth to the operator does not
/// change for how long its client waits.
const LATE_WEIGHTS: [f64; 2] = [0.0, 0.2];

/// Returns the settings of a gateway whose classes have this late weight. Their latency objective is
/// 800 ms.
fn settings_with_late_weight(late_weight: f64) -> Settings {
    SettingsBuilder::new(0, 1).late_weight(late_weight).build()
}

/// The client of a payment waits for 4 s, and the payment is being executed: a cancellation at the
/// latency objective would tell the client nothing but that it may have been executed.
#[test]
fn attempt_stays_in_flight_past_its_objective_while_its_client_waits() {
    for late_weight in LATE_WEIGHTS {
        let settings = settings_with_late_weight(late_weight);
        let mut gateway = GatewayHarness::with_servers(1, settings, SECOND, 2);
        let payment = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
        gateway.advance(3900 * MILLISECOND);
        assert_eq!(gateway.rejected_or_failed_count(), 0, "{late_weight}");
        let is_cancelled = |action: &Action| matches!(action, Action::CancelAttempt { .. });
        assert!(!gateway.actions.iter().any(is_cancelled), "{late_weight}");
        gateway.finish(&payment, AttemptOutcome::Success);
        gateway.advance(SECOND);
        assert_eq!(gateway.rejected_or_failed_count(), 0, "{late_weight}");
    }
}

/// A client that waits for 4 s can still be served if a server becomes available after the latency
/// objective.
#[test]
fn queued_request_waits_for_a_server_past_its_objective() {
    for late_weight in LATE_WEIGHTS {
        let settings = settings_with_late_weight(late_weight);
        let mut gateway = GatewayHarness::new(1, settings, SECOND);
        let id = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
        gateway.advance(1500 * MILLISECOND);
        gateway.update_endpoints(EndpointUpdate::Snapshot, vec![ready_endpoint(0)]);
        assert!(gateway.server_of(&id).is_some(), "{late_weight}");
    }
}

/// Time before the deadline at which a request without an attempt gets its final answer, beside the
/// time that an attempt is expected to need.
const ANSWER_MARGIN: Micros = 20 * MILLISECOND;
/// Time that an attempt is expected to need before any has ended: three times the initial mean
/// latency.
const INITIAL_ATTEMPT_TIME: Micros = 300 * MILLISECOND;
/// Delay of a timer that is due: its period and a step of the test's clock.
const TIMER_DELAY: Micros = 12 * MILLISECOND;

/// Returns whether an action rejects a request, with a `Retry-After`.
fn is_rejection_of(id: &RequestId, action: &Action) -> bool {
    let Action::Reject {
        id: rejected,
        retry_after,
    } = action
    else {
        return false;
    };
    rejected == id && retry_after.is_some()
}

/// A request that waits in the queue may still be served as long as its client's time suffices for
/// an attempt. After that, its client is told at once that it may try again.
#[test]
fn rejects_queued_request_once_its_time_is_too_short_for_an_attempt() {
    for (class, timeout) in [
        (IDEMPOTENT, 4 * SECOND),
        (NON_IDEMPOTENT, SECOND),
        (KEYED_BY_CELL, 700 * MILLISECOND),
        // An attempt is expected to need at most half of the client's timeout.
        (NON_IDEMPOTENT, 150 * MILLISECOND),
    ] {
        let mut gateway = GatewayHarness::new(1, settings(0, 2), SECOND);
        let id = gateway.request(class, UNLIMITED, CUSTOMER, timeout);
        let latest_start = timeout - ANSWER_MARGIN - INITIAL_ATTEMPT_TIME.min(timeout / 2);
        gateway.advance(latest_start - TIMER_DELAY);
        assert_eq!(gateway.rejected_or_failed_count(), 0, "{class:?} {timeout}");
        let actions = gateway.advance(2 * TIMER_DELAY);
        let is_rejected = actions.iter().any(|action| is_rejection_of(&id, action));
        assert!(is_rejected, "{class:?} {timeout}");
    }
}

/// With most of its time behind it, a request is still sent if a server becomes available.
#[test]
fn queued_request_is_sent_late_in_its_time_if_a_server_becomes_available() {
    let mut gateway = GatewayHarness::new(1, settings(0, 2), SECOND);
    let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
    gateway.advance(3500 * MILLISECOND);
    gateway.update_endpoints(EndpointUpdate::Snapshot, vec![ready_endpoint(0)]);
    assert!(gateway.server_of(&id).is_some());
}

/// Latency objectives of classes whose clients wait equally long.
const LATENCY_OBJECTIVES: [Duration; 3] = [
    Duration::from_millis(10),
    Duration::from_millis(800),
    Duration::from_secs(60),
];

/// Before the first answer nothing is known about the servers. A long latency objective does not mean
/// that they are slow, so the first requests wait as long as under any other.
#[test]
fn first_request_waits_for_a_server_whatever_its_latency_objective() {
    for objective in LATENCY_OBJECTIVES {
        let settings = SettingsBuilder::new(0, 2)
            .latency_objective(objective)
            .build();
        let mut gateway = GatewayHarness::new(1, settings, SECOND);
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
        gateway.advance(1500 * MILLISECOND);
        gateway.update_endpoints(EndpointUpdate::Snapshot, vec![ready_endpoint(0)]);
        assert!(
            gateway.server_of(&id).is_some(),
            "objective of {objective:?}"
        );
    }
}

/// Attempts that fail at once say nothing about how long an answer takes. They must not make the
/// gateway give up requests whose clients have time for an attempt.
#[test]
fn request_waits_for_a_server_after_attempts_that_failed_at_once() {
    for objective in LATENCY_OBJECTIVES {
        let settings = SettingsBuilder::new(0, 2)
            .latency_objective(objective)
            .build();
        let mut gateway = GatewayHarness::with_servers(1, settings, SECOND, 4);
        for _ in 0..5 {
            let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
            while gateway.server_of(&id).is_some() {
                gateway.finish(&id, AttemptOutcome::ServerError);
            }
        }
        gateway.update_endpoints(EndpointUpdate::Snapshot, Vec::new());
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
        gateway.advance(1500 * MILLISECOND);
        gateway.update_endpoints(EndpointUpdate::Snapshot, vec![ready_endpoint(7)]);
        assert!(
            gateway.server_of(&id).is_some(),
            "objective of {objective:?}"
        );
    }
}

/// A retry that its client would no longer see answered is not sent: the client of a read is told at
/// once that it may try again.
#[test]
fn failed_attempt_is_answered_at_once_if_the_time_left_is_too_short_for_another() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 500 * MILLISECOND);
    gateway.now += 300 * MILLISECOND;
    let actions = gateway.finish(&id, AttemptOutcome::ConnectionLost);
    assert!(is_rejection_of(&id, &actions[0]), "{actions:?}");
}

#[test]
fn rejects_request_with_short_timeout_immediately() {
    for timeout in [0, 1, 5 * MILLISECOND, 19 * MILLISECOND] {
        let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 0);
        let id = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, timeout);
        let is_rejection =
            |action: &Action| matches!(action, Action::Reject { id: found, .. } if *found == id);
        assert!(
            gateway.actions.iter().any(is_rejection),
            "timeout of {timeout} µs"
        );
    }
}
