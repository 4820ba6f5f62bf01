//! Outcomes of requests and attempts, and the words that stand for them in labels.

use gateway_core::AttemptOutcome;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The client got a server's answer.
    Served,
    /// It was rejected, so that its client may safely retry.
    Rejected,
    /// No server could answer it.
    Failed,
    /// Its client disconnected, or its deadline passed.
    Abandoned,
}

impl RequestOutcome {
    /// All of them, in the order of their counters.
    pub(super) const ALL: [RequestOutcome; 4] = [
        RequestOutcome::Served,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
        RequestOutcome::Abandoned,
    ];

    /// The word that stands for it in labels and in the log.
    pub(crate) fn label(self) -> &'static str {
        match self {
            RequestOutcome::Served => "served",
            RequestOutcome::Rejected => "refused",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Abandoned => "abandoned",
        }
    }
}

/// All outcomes of attempts, in the order of their counters.
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

/// The word that stands for the outcome of an attempt in labels.
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
