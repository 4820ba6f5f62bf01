//! The record of one request: its attempts, its executions and its end. For simulated requests,
//! also whether the idempotency of the class permits a further attempt or a rejection.

use super::client_request::ClientRequest;
use gateway_core::{AttemptNumber, DeduplicationScope, Endpoint, Idempotency, Timestamp};

/// The record of one request. The types of the request and its attempts depend on what their
/// observer can see.
#[derive(Clone, Debug)]
pub struct RequestRecord<Request, Attempt> {
    /// The request as its observer knows it.
    pub request: Request,
    /// Time at which the client sent the request.
    pub arrived_at: Timestamp,
    /// Attempts of the request, in the order in which they were observed.
    pub attempts: Vec<Attempt>,
    is_open: bool,
    answers_after_end: u32,
    executions: u32,
}

impl<Request, Attempt> RequestRecord<Request, Attempt> {
    /// Creates the record of a request that a client has just sent.
    pub fn new(now: Timestamp, request: Request) -> RequestRecord<Request, Attempt> {
        RequestRecord {
            request,
            arrived_at: now,
            attempts: Vec::new(),
            is_open: true,
            answers_after_end: 0,
            executions: 0,
        }
    }

    /// Returns whether the request has neither a final answer nor another end.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Closes the request. Returns whether the request was open.
    pub fn close(&mut self) -> bool {
        std::mem::replace(&mut self.is_open, false)
    }

    /// Records a final answer, which closes the request. Returns whether the request was open.
    pub fn record_answer(&mut self) -> bool {
        let was_open = self.close();
        self.answers_after_end += u32::from(!was_open);
        was_open
    }

    /// Returns whether there was a final answer after the request's end.
    pub fn is_answered_after_end(&self) -> bool {
        self.answers_after_end > 0
    }

    /// Records an attempt. Returns whether it is the first, which consumes the customer's quota.
    pub fn add_attempt(&mut self, attempt: Attempt) -> bool {
        let is_first = self.attempts.is_empty();
        self.attempts.push(attempt);
        is_first
    }

    /// Records that an attempt began to run.
    pub fn execution_started(&mut self) {
        self.executions += 1;
    }

    /// Returns whether an attempt began to run.
    pub fn is_executed(&self) -> bool {
        self.executions > 0
    }

    /// Returns whether more than one attempt began to run.
    pub fn is_executed_repeatedly(&self) -> bool {
        self.executions > 1
    }
}

pub(super) struct AttemptRecord {
    /// Endpoint of the server as the list had it when the attempt was sent.
    pub(super) server: Endpoint,
    /// Time at which the attempt was sent.
    pub(super) sent_at: Timestamp,
    /// Whether the gateway has not yet learned the outcome.
    pub(super) is_in_flight: bool,
    /// Whether the outcome proves that the attempt never ran.
    pub(super) is_proved_unexecuted: bool,
}

/// The record of a simulated request. In the simulation, the checker sees the outcome of each
/// attempt as the gateway learns it, and can therefore tell whether the gateway may send another
/// attempt. The checker of `hybrid` observes sockets and does not see outcomes, so it has to rely
/// on executions.
pub(super) type SimulatedRequestRecord = RequestRecord<ClientRequest, AttemptRecord>;

impl SimulatedRequestRecord {
    /// Returns whether the idempotency of the request permits that an attempt is sent to a server
    /// after the earlier attempts.
    pub(super) fn may_be_sent(
        &self,
        now: Timestamp,
        to: &Endpoint,
        idempotency: Idempotency,
    ) -> bool {
        may_execute_after(&self.attempts, now, to, idempotency)
    }

    /// Returns whether the idempotency of the request permits that an attempt, which was sent
    /// before, is written to its server now.
    pub(super) fn may_be_written(
        &self,
        now: Timestamp,
        number: AttemptNumber,
        idempotency: Idempotency,
    ) -> bool {
        let (earlier, this_and_later) = self.attempts.split_at(number.0 as usize);
        may_execute_after(earlier, now, &this_and_later[0].server, idempotency)
    }

    /// Returns whether the idempotency of the request permits a rejection after the earlier
    /// attempts. A rejection invites the client to send the request again.
    pub(super) fn may_be_rejected(&self, now: Timestamp, idempotency: Idempotency) -> bool {
        let Some(executed) = first_possibly_executed(&self.attempts) else {
            return true;
        };
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                scope == DeduplicationScope::AllServers && now <= executed.sent_at + window
            }
        }
    }
}

/// Returns whether idempotency permits an execution at a server at `now`, after earlier attempts.
fn may_execute_after(
    earlier: &[AttemptRecord],
    now: Timestamp,
    at: &Endpoint,
    idempotency: Idempotency,
) -> bool {
    let Some(executed) = first_possibly_executed(earlier) else {
        return true;
    };
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, window } => {
            let is_in_scope = match scope {
                DeduplicationScope::AllServers => true,
                DeduplicationScope::Zone => at.zone == executed.server.zone,
                DeduplicationScope::Cell => at.cell == executed.server.cell,
            };
            is_in_scope && now <= executed.sent_at + window
        }
    }
}

/// Returns the first attempt that may have run; `None` if no attempt can have run.
fn first_possibly_executed(attempts: &[AttemptRecord]) -> Option<&AttemptRecord> {
    attempts
        .iter()
        .find(|attempt| !attempt.is_proved_unexecuted)
}
