//! Attempts at a server, and the events that they cause there.

use super::cold_start::ColdStartLoad;
use super::RequestNumber;
use gateway_core::{AttemptNumber, AttemptOutcome, GatewayId, Timestamp};
use std::time::Duration;

/// An attempt that has arrived at a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Request that the attempt belongs to.
    pub request: RequestNumber,
    /// Number of the attempt among those of the request.
    pub attempt: AttemptNumber,
    /// Gateway that waits for the answer.
    pub gateway: GatewayId,
    /// Time at which the gateway stops waiting; the server drops the attempt if it is still queued.
    pub expires_at: Timestamp,
    /// Execution time on a warm core.
    pub work: Duration,
    /// Whether the gateway knew of the server's latest start.
    pub is_start_known: bool,
}

/// What has happened at a server, for its caller to act on.
#[derive(Debug)]
pub enum ServerEvent {
    /// An attempt begins to run.
    Started {
        /// Number to pass to [`Server::complete`](super::servers::Server::complete).
        execution: u64,
        /// Time at which the execution is done, unless the server hangs before then.
        done_at: Timestamp,
        /// Attempt that begins to run.
        job: Job,
    },
    /// An execution is delayed because the server hangs.
    Delayed {
        /// Number to pass to [`Server::complete`](super::servers::Server::complete).
        execution: u64,
        /// Time at which the execution is done.
        done_at: Timestamp,
    },
    /// An attempt ends. Its gateway receives the outcome unless a partition separates them.
    Finished {
        /// Attempt that ended.
        job: Job,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Load report; `None` if the server does not answer.
        reported_load: Option<f64>,
    },
    /// The server was cold and crashed from overload. Contains the highest load while the server
    /// was cold.
    Crashed(ColdStartLoad),
}
