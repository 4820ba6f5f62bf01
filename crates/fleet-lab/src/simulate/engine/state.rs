//! The state of simulated gateways and of the requests that are open at them.

use super::decision_module::DecisionModule;
use super::queue::GatewayRun;
use crate::world::client_request::ClientRequest;
use gateway_core::{AttemptNumber, AttemptOutcome, Timestamp, ZoneId};
use std::time::Duration;

/// A gateway.
pub(super) struct SimulatedGateway {
    /// `None` while it is down.
    pub(super) module: Option<Box<dyn DecisionModule>>,
    /// Counts its starts and kills.
    pub(super) incarnation: u32,
    /// Its zone.
    pub(super) zone: ZoneId,
    /// While it is down: from when on its clients are sent elsewhere.
    pub(super) down_noticed_at: Timestamp,
}

impl SimulatedGateway {
    /// Whether it runs.
    pub(super) fn is_up(&self) -> bool {
        self.module.is_some()
    }
}

/// An attempt as its gateway sees it.
pub(super) struct OpenAttempt {
    /// Index of the server.
    pub(super) server: usize,
    /// Whether its gateway still waits for the result.
    pub(super) is_in_flight: bool,
}

/// A request that has no final answer yet, or of which an attempt is in flight.
pub(super) struct OpenRequest {
    /// The run of the gateway that received it.
    pub(super) run: GatewayRun,
    /// The request as its client sent it.
    pub(super) request: ClientRequest,
    /// When its client no longer waits for this answer.
    pub(super) deadline: Timestamp,
    /// Whether it has a final answer, or another end.
    pub(super) is_answered: bool,
    /// By attempt number.
    pub(super) attempts: Vec<OpenAttempt>,
}

/// An attempt that has just finished.
pub(super) struct FinishedAttempt {
    /// The run of the gateway that sent it.
    pub(super) run: GatewayRun,
    /// Whether its result is the final answer of the request.
    pub(super) is_final_answer: bool,
    /// Whether the request has a final answer.
    pub(super) is_answered: bool,
}

impl OpenRequest {
    /// Adds an attempt to a server, by index,, and returns its number.
    pub(super) fn add_attempt(&mut self, server: usize) -> AttemptNumber {
        let number = AttemptNumber(self.attempts.len() as u32);
        self.attempts.push(OpenAttempt {
            server,
            is_in_flight: true,
        });
        number
    }

    /// When an attempt that is sent now expires: after its timeout, and no later than the request.
    pub(super) fn attempt_deadline(&self, now: Timestamp, timeout: Option<Duration>) -> Timestamp {
        timeout.map_or(self.deadline, |timeout| self.deadline.min(now + timeout))
    }

    /// Ends an attempt; `None` if it had ended already.
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

    /// Whether the request has its answer and no attempt in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.is_answered && !self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }
}
