//! Which attempts may be followed by a retry, depending on their outcome and the idempotency of
//! their request.

use crate::common::*;
use gateway_core::*;
use AttemptOutcome::{
    Cancelled, ConnectionLost, NotSent, Overloaded, ServerError, TimedOut, Unreachable,
};

/// Checks the immediate reaction to each outcome except success, for each class.
#[test]
fn retries_according_to_outcome_and_idempotency() {
    for class in [IDEMPOTENT, KEYED_BY_CELL, NON_IDEMPOTENT, KEYED] {
        for outcome in [
            ServerError,
            Overloaded,
            TimedOut,
            Unreachable,
            ConnectionLost,
            Cancelled,
            NotSent,
        ] {
            assert_retry(class, outcome);
        }
    }
}

fn assert_retry(class: ClassId, outcome: AttemptOutcome) {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    let id = gateway.request(class, UNLIMITED, CUSTOMER, 2 * SECOND);
    let first = gateway.server_of(&id).expect("a first attempt");
    let actions = gateway.finish(&id, outcome);
    let was_not_executed = matches!(outcome, Overloaded | Unreachable | NotSent);
    if class == NON_IDEMPOTENT && !was_not_executed {
        assert_eq!(actions, [Action::Fail { id }], "{outcome:?}");
        return;
    }
    assert_eq!(
        count_sent(&actions),
        1,
        "{class:?} {outcome:?}: the request is sent again"
    );
    if class == KEYED_BY_CELL && !was_not_executed {
        let second = gateway.server_of(&id).expect("a second attempt");
        assert_eq!(second.0 % 2, first.0 % 2, "the retry stays within the cell");
    }
}

/// The client of a read waits for 4 s. An attempt that fails 200 ms after the latency objective of
/// 800 ms leaves 3 s, in which another attempt can be answered, whatever late answers are worth to
/// the operator.
#[test]
fn attempt_that_fails_after_its_objective_is_retried_while_its_client_waits() {
    for late_weight in [0.0, 0.2] {
        let settings = SettingsBuilder::new(0, 1).late_weight(late_weight).build();
        let mut gateway = GatewayHarness::with_servers(3, settings, SECOND, 4);
        let read = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
        gateway.now += SECOND;
        let actions = gateway.finish(&read, ConnectionLost);
        assert_eq!(count_sent(&actions), 1, "late weight {late_weight}");
    }
}

#[test]
fn keyed_request_after_its_window_fails_and_is_not_rejected() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    let id = gateway.request(KEYED_BY_CELL, UNLIMITED, CUSTOMER, 2 * SECOND);
    gateway.now += 600 * MILLISECOND;
    let actions = gateway.finish(&id, ServerError);
    assert_eq!(actions, [Action::Fail { id }]);
}

/// Guards against clients that wait until their deadline for a request that can no longer be sent:
/// its connection was not established within the window, or no server had capacity in time.
#[test]
fn keyed_request_is_answered_as_soon_as_its_window_has_ended() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    let unsent = gateway.request(KEYED_BY_CELL, UNLIMITED, CUSTOMER, 2 * SECOND);
    let queued = gateway.request(KEYED_BY_CELL, UNLIMITED, CUSTOMER, 2 * SECOND);
    gateway.finish(&unsent, ConnectionLost);
    gateway.update_endpoints(EndpointUpdate::Snapshot, Vec::new());
    assert_eq!(count_sent(&gateway.finish(&queued, ConnectionLost)), 0);
    let within_window = gateway.advance(500 * MILLISECOND);
    assert_eq!(count_answers(&within_window), 0, "{within_window:?}");
    let timer_period = 10 * MILLISECOND;
    let after_window = gateway.advance(timer_period + 2 * MILLISECOND);
    assert!(after_window.contains(&Action::Fail { id: queued }));
    let actions = gateway.finish(&unsent, NotSent);
    assert_eq!(actions, [Action::Fail { id: unsent }]);
}

/// Guards against a second execution by a retry of the client: a rejection promises that a retry is
/// safe, which it no longer is once the servers have forgotten the key.
#[test]
fn keyed_request_is_rejected_only_if_its_key_is_remembered_when_client_may_retry() {
    let window = 500 * MILLISECOND;
    // The client is told to return after about the mean latency.
    let retry_after = 100 * MILLISECOND..130 * MILLISECOND;
    let mut answers = Vec::new();
    for finished_after in (0..=window + MILLISECOND).step_by(1000) {
        let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
        let id = gateway.request(KEYED, UNLIMITED, CUSTOMER, 2 * SECOND);
        // All attempts that the settings permit are used up by then.
        gateway.finish(&id, ServerError);
        gateway.finish(&id, ServerError);
        gateway.now += finished_after;
        match &gateway.finish(&id, ServerError)[..] {
            [Action::Reject {
                retry_after: Some(after),
                ..
            }] => {
                let after = after.as_micros() as Micros;
                assert!(retry_after.contains(&after), "{after} us");
                assert!(finished_after + after <= window, "{finished_after} us");
                answers.push(true);
            }
            [Action::Fail { .. }] => {
                assert!(
                    finished_after + retry_after.end > window,
                    "{finished_after} us"
                );
                answers.push(false);
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(answers[0] && !answers[answers.len() - 1]);
    assert!(answers.is_sorted_by(|earlier, later| earlier >= later));
}

fn count_answers(actions: &[Action]) -> usize {
    let is_answer =
        |action: &&Action| matches!(action, Action::Fail { .. } | Action::Reject { .. });
    actions.iter().filter(is_answer).count()
}

/// A server forgets an idempotency key one window after the server first received the request.
#[test]
fn key_window_begins_with_first_attempt() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    let id = gateway.request(KEYED, UNLIMITED, CUSTOMER, 2 * SECOND);
    gateway.now += 300 * MILLISECOND;
    assert_eq!(
        count_sent(&gateway.finish(&id, ServerError)),
        1,
        "within the window of 500 ms"
    );
    gateway.now += 300 * MILLISECOND;
    assert_eq!(
        count_sent(&gateway.finish(&id, ServerError)),
        0,
        "after the window of 500 ms"
    );
}

/// Guards against a second execution over a connection that is established late: the decision to
/// retry is made while servers remember the key, but the request is written after they forgot it.
#[test]
fn retry_of_keyed_request_may_be_written_until_its_window_ends() {
    let sent_at = SECOND;
    for (class, outcome, expected) in [
        (KEYED, ConnectionLost, Some(sent_at + 500 * MILLISECOND)),
        (KEYED_BY_CELL, TimedOut, Some(sent_at + 500 * MILLISECOND)),
        (KEYED, Overloaded, None),
        (IDEMPOTENT, ConnectionLost, None),
        (NON_IDEMPOTENT, Unreachable, None),
    ] {
        let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), sent_at, 4);
        let id = gateway.request(class, UNLIMITED, CUSTOMER, 2 * SECOND);
        gateway.now += 100 * MILLISECOND;
        gateway.finish(&id, outcome);
        let deadlines: Vec<_> = gateway.actions.iter().filter_map(write_deadline).collect();
        let expected = expected.map(Timestamp::from_micros);
        assert_eq!(deadlines, [None, expected], "{class:?} {outcome:?}");
    }
}

/// Guards against the loss of an answer that still comes: once the key is forgotten, cancelling a
/// stalled attempt makes the request fail, because it cannot be retried.
#[test]
fn stalled_attempt_is_cancelled_only_while_its_request_could_be_retried() {
    // An attempt counts as stalled after 400 ms, or after 600 ms if it is the only one at its
    // server; the window of a key is 500 ms.
    for (class, attempts, is_cancelled) in [
        (IDEMPOTENT, 1, true),
        (KEYED, 2, true),
        (KEYED, 1, false),
        (KEYED_BY_CELL, 1, false),
    ] {
        let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 1);
        let ids: Vec<_> = (0..attempts)
            .map(|_| gateway.request(class, UNLIMITED, CUSTOMER, 2 * SECOND))
            .collect();
        assert_eq!(gateway.in_flight.len(), attempts);
        let actions = gateway.advance(700 * MILLISECOND);
        for id in ids {
            let attempt = AttemptNumber(0);
            let cancel = Action::CancelAttempt { id, attempt };
            assert_eq!(actions.contains(&cancel), is_cancelled, "{class:?}");
        }
    }
}

/// Returns the write deadline of an action that sends an attempt.
fn write_deadline(action: &Action) -> Option<Option<Timestamp>> {
    match action {
        Action::SendAttempt { write_deadline, .. } => Some(*write_deadline),
        _ => None,
    }
}
