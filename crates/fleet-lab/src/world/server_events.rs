//! The attempts at a server, and what happens to them.

use super::cold_start::ColdStartLoad;
use super::RequestNumber;
use gateway_core::{AttemptNumber, AttemptOutcome, GatewayId, Timestamp};
use std::time::Duration;

/// An attempt that has arrived at a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The request.
    pub request: RequestNumber,
    /// Which attempt of it.
    pub attempt: AttemptNumber,
    /// The gateway that waits for the answer.
    pub gateway: GatewayId,
    /// When it is dropped if it is still queued.
    pub expires_at: Timestamp,
    /// Its work on a warm core.
    pub work: Duration,
    /// Whether its gateway knew of the server's latest start.
    pub is_start_known: bool,
}

/// What happens at a server.
#[derive(Debug)]
pub enum ServerEvent {
    /// A request begins to run.
    Started {
        /// For [`Server::complete`](super::servers::Server::complete).
        execution: u64,
        /// When it is done, unless the server hangs meanwhile.
        done_at: Timestamp,
        /// The attempt.
        job: Job,
    },
    /// A running request takes longer.
    Delayed {
        /// For [`Server::complete`](super::servers::Server::complete).
        execution: u64,
        /// When it is done.
        done_at: Timestamp,
    },
    /// An attempt ends; its gateway gets the outcome unless a partition separates them.
    Finished {
        /// The attempt.
        job: Job,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report, if the server answers.
        reported_load: Option<f64>,
    },
    /// The server was cold and was overloaded.
    Crashed(ColdStartLoad),
}
