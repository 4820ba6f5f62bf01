//! Checks the actions of a gateway against the platform's rules for requests:
//!
//! 1. Every client receives exactly one final answer, and receives it in time.
//! 2. No request is executed more often than its class permits, and no attempt may be written to a
//!    server after the idempotency key of its request has been forgotten.
//! 3. No attempt is sent to a server that is draining or gone.

use super::{Micros, MILLISECOND};
use gateway_core::*;
use std::collections::BTreeMap;

/// Maximum delay of a final answer after the client's deadline. Timers fire in steps, so an answer
/// can be late.
const TIMER_TOLERANCE: Micros = 8 * MILLISECOND;

#[derive(Default)]
struct RequestRecord {
    class: ClassId,
    deadline: Micros,
    /// Whether the client still waits for its final answer.
    is_open: bool,
    /// Number of attempts sent.
    attempts: u32,
    /// Whether an attempt is in flight.
    is_in_flight: bool,
    /// The last attempt.
    last_attempt: AttemptRecord,
    /// The first finished attempt that may have executed the request; `None` if there is none.
    executed: Option<AttemptRecord>,
}

#[derive(Clone, Copy, Default)]
struct AttemptRecord {
    /// Cell of the server.
    cell: CellId,
    sent_at: Micros,
}

/// An attempt that the gateway sends.
pub(crate) struct SentAttempt<'a> {
    pub(crate) now: Micros,
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) write_deadline: Option<Timestamp>,
}

impl RequestRecord {
    fn idempotency(&self, settings: &Settings) -> Idempotency {
        settings.classes[self.class.0].idempotency
    }

    fn may_have_been_executed(&self) -> bool {
        self.executed.is_some() || self.is_in_flight
    }
}

/// Log of all requests that a gateway has received.
#[derive(Default)]
pub(crate) struct RequestLog(BTreeMap<RequestId, RequestRecord>);

impl RequestLog {
    pub(crate) fn received(&mut self, id: RequestId, class: ClassId, deadline: Micros) {
        self.0.insert(
            id,
            RequestRecord {
                class,
                deadline,
                is_open: true,
                ..RequestRecord::default()
            },
        );
    }

    fn record(&mut self, id: &RequestId) -> &mut RequestRecord {
        self.0
            .get_mut(id)
            .expect("a request that the gateway has received")
    }

    /// Checks that an attempt may be sent, and returns its number.
    pub(crate) fn attempt_sent(
        &mut self,
        id: &RequestId,
        sent: &SentAttempt<'_>,
        settings: &Settings,
    ) -> AttemptNumber {
        let record = self.record(id);
        assert!(
            record.is_open,
            "rule 1: attempt sent after the final answer"
        );
        assert!(
            !record.is_in_flight,
            "rule 2: two attempts in flight at once"
        );
        assert!(
            record.attempts < settings.permissions.max_attempts,
            "more attempts than permitted"
        );
        assert_eq!(
            sent.endpoint.state,
            EndpointState::Ready,
            "rule 3: attempt sent to a server that is not ready"
        );
        assert_may_execute(record, sent, settings);
        let number = AttemptNumber(record.attempts);
        record.attempts += 1;
        record.is_in_flight = true;
        record.last_attempt = AttemptRecord {
            cell: sent.endpoint.cell,
            sent_at: sent.now,
        };
        number
    }

    /// Records the end of an attempt, and returns whether the request is closed.
    pub(crate) fn attempt_finished(&mut self, id: &RequestId, outcome: AttemptOutcome) -> bool {
        let record = self.record(id);
        record.is_in_flight = false;
        if may_have_executed(outcome) {
            record.executed.get_or_insert(record.last_attempt);
        }
        if outcome == AttemptOutcome::Success {
            record.is_open = false;
        }
        !record.is_open
    }

    pub(crate) fn client_disconnected(&mut self, id: &RequestId) {
        self.record(id).is_open = false;
    }

    /// Records a failure, and checks that it is the only final answer to the request.
    pub(crate) fn failed(&mut self, id: &RequestId) {
        let record = self.record(id);
        assert!(record.is_open, "rule 1: second final answer");
        record.is_open = false;
    }

    /// Records a rejection, and checks that it is the only final answer to the request and that the
    /// client may safely retry at `retry_at`.
    pub(crate) fn rejected(&mut self, id: &RequestId, retry_at: Micros, settings: &Settings) {
        self.failed(id);
        let record = self.record(id);
        let may_repeat_anywhere = match record.idempotency(settings) {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let is_key_remembered = record.executed.is_none_or(|executed| {
                    retry_at <= executed.sent_at + window.as_micros() as Micros
                });
                scope == DeduplicationScope::AllServers && is_key_remembered
            }
        };
        assert!(
            !record.may_have_been_executed() || may_repeat_anywhere,
            "rule 2: rejected a request that may have been executed"
        );
    }

    /// Checks that no client still waits for a final answer after its deadline and the tolerance.
    pub(crate) fn assert_answered_in_time(&self, now: Micros) {
        for (id, record) in &self.0 {
            let is_in_time = now <= record.deadline + TIMER_TOLERANCE;
            assert!(
                !record.is_open || is_in_time,
                "rule 1: {id:?} received no final answer in time"
            );
        }
    }
}

/// Checks that the idempotency of the request permits an execution by this attempt, if the request
/// may already have been executed, and that the attempt is limited to the time in which it does.
fn assert_may_execute(record: &RequestRecord, sent: &SentAttempt<'_>, settings: &Settings) {
    let mut write_deadline = None;
    if let Some(executed) = record.executed {
        match record.idempotency(settings) {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => panic!("rule 2: a non-idempotent request was sent again"),
            Idempotency::Keyed { scope, window } => {
                let is_same_cell = executed.cell == sent.endpoint.cell;
                assert!(
                    scope == DeduplicationScope::AllServers || is_same_cell,
                    "rule 2: keyed request sent outside its deduplication scope"
                );
                let forgotten_at = executed.sent_at + window.as_micros() as Micros;
                assert!(
                    sent.now <= forgotten_at,
                    "rule 2: keyed request sent after its key was forgotten"
                );
                write_deadline = Some(Timestamp::from_micros(forgotten_at));
            }
        }
    }
    assert_eq!(
        sent.write_deadline, write_deadline,
        "rule 2: write deadline of an attempt"
    );
}

/// Returns whether an attempt with this outcome may have executed its request. The function does
/// not call [`AttemptOutcome::may_have_executed`], so that a fault in that method is found.
fn may_have_executed(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Overloaded | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
    )
}
