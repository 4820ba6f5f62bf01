//! The record of one request with its attempts, its executions and its end; and what the idempotency of its class
//! permits after its attempts.

use super::client_request::ClientRequest;
use gateway_core::{DeduplicationScope, Endpoint, Idempotency, Timestamp};

/// The record of one request. What is known of a request and of an attempt depends on who observes them.
#[derive(Clone, Debug)]
pub struct RequestRecord<Request, Attempt> {
    /// The request.
    pub request: Request,
    /// When the client sent it.
    pub arrived_at: Timestamp,
    /// Its attempts, in their order.
    pub attempts: Vec<Attempt>,
    is_open: bool,
    answers_after_end: u32,
    executions: u32,
}

impl<Request, Attempt> RequestRecord<Request, Attempt> {
    /// The record of a request that a client has just sent.
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

    /// Whether the request has neither a final answer nor another end.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Ends the request; returns whether it was open.
    pub fn close(&mut self) -> bool {
        std::mem::replace(&mut self.is_open, false)
    }

    /// Records a final answer, which ends the request; returns whether the request was open.
    pub fn record_answer(&mut self) -> bool {
        let was_open = self.close();
        self.answers_after_end += u32::from(!was_open);
        was_open
    }

    /// Whether there was a final answer after the request's end.
    pub fn is_answered_after_end(&self) -> bool {
        self.answers_after_end > 0
    }

    /// Records an attempt; returns whether it is the first, which consumes the customer's quota.
    pub fn add_attempt(&mut self, attempt: Attempt) -> bool {
        let is_first = self.attempts.is_empty();
        self.attempts.push(attempt);
        is_first
    }

    /// Records that an attempt began to run.
    pub fn execution_started(&mut self) {
        self.executions += 1;
    }

    /// Whether an attempt began to run.
    pub fn is_executed(&self) -> bool {
        self.executions > 0
    }

    /// Whether more than one attempt began to run.
    pub fn is_executed_repeatedly(&self) -> bool {
        self.executions > 1
    }
}

/// The record of a simulated attempt.
pub(super) struct AttemptRecord {
    /// The server, as the list had it when the attempt was sent.
    pub(super) server: Endpoint,
    /// When it was sent.
    pub(super) sent_at: Timestamp,
    /// Its gateway does not know how it ended.
    pub(super) is_in_flight: bool,
    /// It certainly never ran.
    pub(super) is_proved_unexecuted: bool,
}

/// The record of a simulated request. Only in the simulation does the checker see what a gateway learns of an attempt,
/// so that it can tell whether the gateway may send the next one; an observer of sockets has to rely on executions.
pub(super) type SimulatedRequestRecord = RequestRecord<ClientRequest, AttemptRecord>;

impl SimulatedRequestRecord {
    /// The first attempt that may have run.
    fn possibly_executed(&self) -> Option<&AttemptRecord> {
        self.attempts
            .iter()
            .find(|attempt| !attempt.is_proved_unexecuted)
    }

    /// Whether the request may be sent to a server after its earlier attempts.
    pub(super) fn may_be_sent(
        &self,
        now: Timestamp,
        to: &Endpoint,
        idempotency: Idempotency,
    ) -> bool {
        let Some(executed) = self.possibly_executed() else {
            return true;
        };
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let is_in_scope = match scope {
                    DeduplicationScope::AllServers => true,
                    DeduplicationScope::Zone => to.zone == executed.server.zone,
                    DeduplicationScope::Cell => to.cell == executed.server.cell,
                };
                is_in_scope && now <= executed.sent_at + window
            }
        }
    }

    /// Whether the request may be rejected after its earlier attempts, which invites the client to send it again.
    pub(super) fn may_be_rejected(&self, idempotency: Idempotency) -> bool {
        if self.possibly_executed().is_none() {
            return true;
        }
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, .. } => scope == DeduplicationScope::AllServers,
        }
    }
}
