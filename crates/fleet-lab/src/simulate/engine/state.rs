//! State of the simulated gateways and of the requests that are open at them.

use super::decision_module::DecisionModule;
use super::queue::GatewayRun;
use crate::world::client_request::ClientRequest;
use gateway_core::{AttemptNumber, AttemptOutcome, Timestamp, ZoneId};
use std::time::Duration;

/// A simulated gateway, up or down.
pub(super) struct SimulatedGateway {
    /// Decision module; `None` while the gateway is down.
    pub(super) module: Option<Box<dyn DecisionModule>>,
    /// Number of starts and kills of the gateway so far.
    pub(super) incarnation: u32,
    pub(super) zone: ZoneId,
    /// Time at which the front end learns of the latest kill of the gateway. Ignored while the
    /// gateway is up.
    pub(super) down_noticed_at: Timestamp,
}

impl SimulatedGateway {
    pub(super) fn is_up(&self) -> bool {
        self.module.is_some()
    }
}

/// An attempt as its gateway sees it.
pub(super) struct OpenAttempt {
    /// Index of the server.
    pub(super) server: usize,
    /// Whether the gateway still waits for the result.
    pub(super) is_in_flight: bool,
}

/// A request that has not ended, or that has an attempt in flight.
pub(super) struct OpenRequest {
    /// Run of the gateway that received the request.
    pub(super) run: GatewayRun,
    /// The request as its client sent it.
    pub(super) request: ClientRequest,
    /// Time at which the client stops waiting for the answer.
    pub(super) deadline: Timestamp,
    /// Whether the request has a final answer or another end.
    pub(super) is_answered: bool,
    /// Attempts, indexed by their number.
    pub(super) attempts: Vec<OpenAttempt>,
}

pub(super) struct FinishedAttempt {
    /// Run of the gateway that sent the attempt.
    pub(super) run: GatewayRun,
    /// Whether the result of the attempt is the final answer of the request.
    pub(super) is_final_answer: bool,
    /// Whether the request has a final answer or another end.
    pub(super) is_answered: bool,
}

impl OpenRequest {
    /// Adds an attempt to the server with an index, and returns the attempt's number.
    pub(super) fn add_attempt(&mut self, server: usize) -> AttemptNumber {
        let number = AttemptNumber(self.attempts.len() as u32);
        self.attempts.push(OpenAttempt {
            server,
            is_in_flight: true,
        });
        number
    }

    /// Returns the time at which an attempt that is sent now expires: after `timeout`, but no later
    /// than the request's deadline.
    pub(super) fn attempt_deadline(&self, now: Timestamp, timeout: Option<Duration>) -> Timestamp {
        timeout.map_or(self.deadline, |timeout| self.deadline.min(now + timeout))
    }

    /// Ends an attempt. A success is the final answer of a request without one. Returns `None` if
    /// the attempt had already ended.
    pub(super) fn finish_attempt(
        &mut self,
        number: AttemptNumber,
        outcome: AttemptOutcome,
    ) -> Option<FinishedAttempt> {
        let attempt = self.attempts.get_mut(number.0 as usize)?;
        if !std::mem::replace(&mut attempt.is_in_flight, false) {
            return None;
        }
        let is_final_answer = outcome == AttemptOutcome::Success && !self.is_answered;
        self.is_answered |= is_final_answer;
        Some(FinishedAttempt {
            run: self.run,
            is_final_answer,
            is_answered: self.is_answered,
        })
    }

    /// Returns whether the gateway still waits for the result of an attempt.
    pub(super) fn is_in_flight(&self, number: AttemptNumber) -> bool {
        let attempt = self.attempts.get(number.0 as usize);
        attempt.is_some_and(|attempt| attempt.is_in_flight)
    }

    /// Returns whether the request has ended and has no attempt in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.is_answered && !self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }
}
