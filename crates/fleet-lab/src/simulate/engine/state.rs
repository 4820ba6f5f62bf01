//! The state of simulated gateways and of the requests that are open at them.

use super::decision_module::DecisionModule;
use super::queue::GatewayRun;
use crate::world::client_request::ClientRequest;
use gateway_core::{Timestamp, ZoneId};

/// A gateway.
pub(super) struct SimulatedGateway {
    /// `None` while it is down.
    pub(super) module: Option<Box<dyn DecisionModule>>,
    /// Counts its starts and kills.
    pub(super) incarnation: u32,
    pub(super) zone: ZoneId,
    /// While it is down: from when on its clients are sent elsewhere.
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
    pub(super) is_in_flight: bool,
}

/// A request that has no final answer yet, or of which an attempt is in flight.
pub(super) struct OpenRequest {
    pub(super) run: GatewayRun,
    pub(super) request: ClientRequest,
    pub(super) deadline: Timestamp,
    pub(super) is_answered: bool,
    /// By attempt number.
    pub(super) attempts: Vec<OpenAttempt>,
}

impl OpenRequest {
    pub(super) fn is_finished(&self) -> bool {
        self.is_answered && !self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }
}
