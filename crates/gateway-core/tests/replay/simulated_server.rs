//! A simulated server, which draws the latency and the outcome of each attempt at random.

use crate::common::{Micros, MILLISECOND, SECOND};
use fastrand::Rng;
use gateway_core::*;

/// Condition of a server, which determines latencies and outcomes.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum ServerHealth {
    Healthy,
    Slow,
    Failing,
    Unreachable,
    Hung,
}

pub(crate) struct SimulatedServer {
    pub(crate) endpoint: Endpoint,
    pub(crate) health: ServerHealth,
    pub(crate) in_flight: u32,
}

impl SimulatedServer {
    pub(crate) fn healthy(endpoint: Endpoint) -> Self {
        SimulatedServer {
            endpoint,
            health: ServerHealth::Healthy,
            in_flight: 0,
        }
    }

    /// Starts an attempt, and returns its random latency and outcome.
    pub(crate) fn serve(&mut self, random: &mut Rng) -> ServedAttempt {
        use AttemptOutcome::{
            ConnectionLost, NotSent, Overloaded, ServerError, Success, TimedOut, Unreachable,
        };
        self.in_flight += 1;
        let queue = f64::from(self.in_flight) / self.endpoint.weight;
        let latency = (20e3 * (0.5 + random.f64()) * queue.max(1.0)) as Micros;
        let draw = random.u8(0..100);
        let (latency, outcome) = match self.health {
            _ if draw == 0 => (latency, ConnectionLost),
            _ if draw == 1 => (MILLISECOND, NotSent),
            ServerHealth::Healthy if draw == 2 => (latency, ServerError),
            ServerHealth::Healthy => (latency, Success),
            ServerHealth::Slow if draw < 30 => (8 * latency, TimedOut),
            ServerHealth::Slow => (8 * latency, Success),
            ServerHealth::Failing if draw < 40 => (latency, ServerError),
            ServerHealth::Failing if draw < 60 => (MILLISECOND, Overloaded),
            ServerHealth::Failing if draw < 70 => (latency, ConnectionLost),
            ServerHealth::Failing => (latency, Success),
            ServerHealth::Unreachable => (MILLISECOND, Unreachable),
            ServerHealth::Hung => (4 * SECOND, TimedOut),
        };
        ServedAttempt { latency, outcome }
    }
}

/// Latency and outcome of an attempt at a server.
pub(crate) struct ServedAttempt {
    pub(crate) latency: Micros,
    pub(crate) outcome: AttemptOutcome,
}
