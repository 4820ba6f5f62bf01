//! The platform's rules for requests, checked against what a gateway does: every client is answered
//! once and in time (rule 1), nothing is executed twice that must not be (rule 2), and nothing new
//! goes to a server that drains (rule 3).

use super::{Micros, MS};
use gateway_core::*;
use std::collections::BTreeMap;

/// Time by which a final answer may come after its client's deadline, as timers fire in steps.
const TIMER_TOLERANCE: Micros = 8 * MS;

#[derive(Default)]
struct RequestRecord {
    class: ClassId,
    deadline: Micros,
    /// Whether its client still waits for an answer.
    open: bool,
    attempts: u32,
    in_flight: bool,
    /// The cell of the server that it was last sent to.
    last_cell: CellId,
    /// The cell in which it may have been executed first.
    executed_in: Option<CellId>,
}

impl RequestRecord {
    fn idempotency(&self, settings: &Settings) -> Idempotency {
        settings.classes[self.class.0].idempotency
    }

    fn possibly_executed(&self) -> bool {
        self.executed_in.is_some() || self.in_flight
    }
}

/// All requests that a gateway was given.
#[derive(Default)]
pub(crate) struct RequestLog(BTreeMap<RequestId, RequestRecord>);

impl RequestLog {
    pub(crate) fn received(&mut self, id: RequestId, class: ClassId, deadline: Micros) {
        self.0.insert(
            id,
            RequestRecord {
                class,
                deadline,
                open: true,
                ..RequestRecord::default()
            },
        );
    }

    fn record(&mut self, id: &RequestId) -> &mut RequestRecord {
        self.0
            .get_mut(id)
            .expect("a request that the gateway was given")
    }

    /// Checks that an attempt may be sent, and returns its number.
    pub(crate) fn attempt_sent(
        &mut self,
        id: &RequestId,
        endpoint: &Endpoint,
        settings: &Settings,
    ) -> AttemptNumber {
        let record = self.record(id);
        assert!(record.open, "rule 1: sent after its final answer");
        assert!(!record.in_flight, "rule 2: two attempts in flight at once");
        assert!(
            record.attempts < settings.permissions.max_attempts,
            "more attempts than permitted"
        );
        assert_eq!(
            endpoint.state,
            EndpointState::Ready,
            "rule 3: sent to a server that is not ready"
        );
        assert_may_execute(record, endpoint, settings);
        let number = AttemptNumber(record.attempts);
        record.attempts += 1;
        record.in_flight = true;
        record.last_cell = endpoint.cell;
        number
    }

    /// Returns whether its client has its final answer.
    pub(crate) fn attempt_finished(&mut self, id: &RequestId, outcome: AttemptOutcome) -> bool {
        let record = self.record(id);
        record.in_flight = false;
        if possibly_executed(outcome) {
            record.executed_in.get_or_insert(record.last_cell);
        }
        if outcome == AttemptOutcome::Success {
            record.open = false;
        }
        !record.open
    }

    pub(crate) fn client_disconnected(&mut self, id: &RequestId) {
        self.record(id).open = false;
    }

    /// Checks that the final answer is the first one.
    pub(crate) fn failed(&mut self, id: &RequestId) {
        let record = self.record(id);
        assert!(record.open, "rule 1: a second final answer");
        record.open = false;
    }

    /// Checks the same, and that the client may safely retry.
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
            !record.possibly_executed() || may_repeat_anywhere,
            "rule 2: rejected, though it may have been executed"
        );
    }

    /// Checks that no client waits for longer than its timeout.
    pub(crate) fn assert_answered_in_time(&self, now: Micros) {
        for (id, record) in &self.0 {
            let in_time = now <= record.deadline + TIMER_TOLERANCE;
            assert!(
                !record.open || in_time,
                "rule 1: {id:?} had no final answer in time"
            );
        }
    }
}

/// Checks that an execution at this endpoint, after a possible earlier one, does no harm.
fn assert_may_execute(record: &RequestRecord, endpoint: &Endpoint, settings: &Settings) {
    let Some(executed_in) = record.executed_in else {
        return;
    };
    match record.idempotency(settings) {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent => panic!("rule 2: a non-idempotent request was sent again"),
        Idempotency::Keyed { scope, .. } => {
            let same_cell = executed_in == endpoint.cell;
            assert!(
                scope == DeduplicationScope::AllServers || same_cell,
                "rule 2: sent outside its deduplication scope"
            );
        }
    }
}

/// Stated independently of the library, so that a fault there is found.
fn possibly_executed(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Overloaded | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
    )
}
