//! Checks the actions of a gateway against the platform's rules for requests:
//!
//! 1. Every client receives exactly one final answer, and receives it in time.
//! 2. No request is executed more often than its class permits.
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
    /// Cell of the server to which the last attempt was sent.
    last_cell: CellId,
    /// Cell of the first finished attempt that may have executed the request; `None` if there is no
    /// such attempt.
    executed_in: Option<CellId>,
}

impl RequestRecord {
    fn idempotency(&self, settings: &Settings) -> Idempotency {
        settings.classes[self.class.0].idempotency
    }

    fn may_have_been_executed(&self) -> bool {
        self.executed_in.is_some() || self.is_in_flight
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
        endpoint: &Endpoint,
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
            endpoint.state,
            EndpointState::Ready,
            "rule 3: attempt sent to a server that is not ready"
        );
        assert_may_execute(record, endpoint, settings);
        let number = AttemptNumber(record.attempts);
        record.attempts += 1;
        record.is_in_flight = true;
        record.last_cell = endpoint.cell;
        number
    }

    /// Records the end of an attempt, and returns whether the request is closed.
    pub(crate) fn attempt_finished(&mut self, id: &RequestId, outcome: AttemptOutcome) -> bool {
        let record = self.record(id);
        record.is_in_flight = false;
        if may_have_executed(outcome) {
            record.executed_in.get_or_insert(record.last_cell);
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
    /// client may safely retry.
    pub(crate) fn rejected(&mut self, id: &RequestId, settings: &Settings) {
        self.failed(id);
        let record = self.record(id);
        let may_repeat_anywhere = matches!(
            record.idempotency(settings),
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::AllServers,
                    ..
                }
        );
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

/// Checks that the idempotency of the request permits an execution at this endpoint, if the request
/// may already have been executed.
fn assert_may_execute(record: &RequestRecord, endpoint: &Endpoint, settings: &Settings) {
    let Some(executed_in) = record.executed_in else {
        return;
    };
    match record.idempotency(settings) {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent => panic!("rule 2: a non-idempotent request was sent again"),
        Idempotency::Keyed { scope, .. } => {
            let is_same_cell = executed_in == endpoint.cell;
            assert!(
                scope == DeduplicationScope::AllServers || is_same_cell,
                "rule 2: keyed request sent outside its deduplication scope"
            );
        }
    }
}

/// Returns whether an attempt with this outcome may have executed its request. The function does
/// not call [`AttemptOutcome::may_have_executed`], so that a fault in that method is found.
fn may_have_executed(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Overloaded | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
    )
}
