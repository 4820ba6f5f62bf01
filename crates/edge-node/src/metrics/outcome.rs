//! Outcomes of requests, attempts and client connections, and their values of metric labels.

use gateway_core::AttemptOutcome;

/// Outcome of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The client received a server's answer.
    Served,
    /// The request was rejected; its client may safely retry.
    Rejected,
    /// No server could answer the request.
    Failed,
    /// The client disconnected, or the deadline passed.
    Abandoned,
}

impl RequestOutcome {
    /// All outcomes, in the order of their counters.
    pub(super) const ALL: [RequestOutcome; 4] = [
        RequestOutcome::Served,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
        RequestOutcome::Abandoned,
    ];

    /// Returns the name of this outcome in metric labels and in the log.
    pub(crate) fn label(self) -> &'static str {
        match self {
            RequestOutcome::Served => "served",
            RequestOutcome::Rejected => "refused",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Abandoned => "abandoned",
        }
    }
}

/// Why a client connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The client closed the connection, the connection broke, or its last response was sent.
    Ended,
    /// No request arrived for the idle timeout.
    Idle,
    /// A request began to arrive, and its head was not complete in time.
    IncompleteRequest,
    /// The connection made room for a new one.
    Evicted,
    /// There was no memory for the head of a request.
    HeadMemory,
    /// The client sent too much behind an open request, so that a part was discarded.
    Discarded,
    /// The edge node is closing.
    Shutdown,
}

impl CloseReason {
    /// All reasons, in the order of their counters.
    pub(super) const ALL: [CloseReason; 7] = [
        CloseReason::Ended,
        CloseReason::Idle,
        CloseReason::IncompleteRequest,
        CloseReason::Evicted,
        CloseReason::HeadMemory,
        CloseReason::Discarded,
        CloseReason::Shutdown,
    ];

    /// Returns the name of this reason in metric labels and in the log.
    pub(crate) fn label(self) -> &'static str {
        match self {
            CloseReason::Ended => "ended",
            CloseReason::Idle => "idle",
            CloseReason::IncompleteRequest => "incomplete_request",
            CloseReason::Evicted => "evicted",
            CloseReason::HeadMemory => "head_memory",
            CloseReason::Discarded => "discarded",
            CloseReason::Shutdown => "shutdown",
        }
    }
}

/// All outcomes of an attempt, in the order of their counters.
pub(super) const ATTEMPT_OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Success,
    AttemptOutcome::ServerError,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// Returns the name of an attempt's outcome in metric labels.
pub(super) fn attempt_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Success => "ok",
        AttemptOutcome::ServerError => "error",
        AttemptOutcome::Overloaded => "full",
        AttemptOutcome::TimedOut => "timed_out",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::ConnectionLost => "broken",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NotSent => "not_sent",
    }
}
