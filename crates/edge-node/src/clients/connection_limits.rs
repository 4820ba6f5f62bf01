//! Decides when a client connection is closed by the edge node.
//!
//! A request is lost if its connection is closed after a part of it was read and without a
//! response. A connection is therefore closed silently only while no part of a request has
//! arrived; a request that stays incomplete is answered before its connection is closed.

use super::connection_state::Activity;
use crate::metrics::CloseReason;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which an idle connection is closed. The platform permits it from 2 s on.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Maximum time from the first byte of a request, or from accept for the first request, until it is
/// complete. The platform owes a client that stops in the middle an error or a close within 3 s.
/// Together with [`IDLE_TIMEOUT`] it bounds how long such a client holds a connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);
/// Time for the body of a request whose head has taken long.
const MIN_BODY_TIME: Duration = Duration::from_millis(600);
/// Maximum time between two writes of a response once the answer limit has passed. The process must
/// exit soon, and a client that reads keeps this pace.
const LATE_WRITE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a connection is checked while it cannot be closed yet, although the edge node
/// is closing.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What a connection is asked to do beside serving requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CloseRequests {
    /// The edge node is closing.
    pub(super) is_closing: bool,
    /// The connection table needs room for a new connection.
    pub(super) is_evicted: bool,
    /// Time by which every request must be answered; `None` without such a limit.
    pub(super) answer_limit: Option<Instant>,
}

/// Whether a connection is closed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    Close(CloseReason),
    /// The connection stays open, and must be checked again at this time or when a
    /// [`CloseRequests`] arrives.
    CheckAt(Instant),
}

/// Decides whether to close a connection that was accepted at `accepted_at` and has this activity.
pub(super) fn check(
    activity: Activity,
    accepted_at: Instant,
    has_requests: bool,
    requests: CloseRequests,
    now: Instant,
) -> Verdict {
    match activity {
        Activity::Idle { .. } if requests.is_evicted => Verdict::Close(CloseReason::Evicted),
        Activity::Idle { .. } if requests.is_closing => Verdict::Close(CloseReason::Shutdown),
        Activity::Idle { since } => close_at(since + IDLE_TIMEOUT, CloseReason::Idle, now),
        Activity::Receiving(_) if requests.is_evicted => Verdict::Close(CloseReason::Evicted),
        Activity::Receiving(span) => {
            let timeout = request_deadline(span.first, accepted_at, has_requests);
            match requests.answer_limit.filter(|limit| *limit < timeout) {
                Some(limit) => close_at(limit, CloseReason::Shutdown, now),
                None => close_at(timeout, CloseReason::IncompleteRequest, now),
            }
        }
        // The body of a request has a time limit of its own, and its task ends it on eviction.
        Activity::InFlight | Activity::ReceivingBody(_) => {
            Verdict::CheckAt(next_check(requests, now))
        }
        Activity::WriteBlocked { .. } if requests.is_evicted => {
            Verdict::Close(CloseReason::Evicted)
        }
        // Otherwise, a client that never reads would hold the connection, and at a shutdown the
        // process, forever.
        Activity::WriteBlocked { since } => {
            let timeout = since + IDLE_TIMEOUT;
            let shutdown_timeout = requests
                .answer_limit
                .map(|limit| limit.max(since + LATE_WRITE_TIMEOUT));
            match shutdown_timeout.filter(|shutdown_timeout| *shutdown_timeout < timeout) {
                Some(shutdown_timeout) => close_at(shutdown_timeout, CloseReason::Shutdown, now),
                None => close_at(timeout, CloseReason::Idle, now),
            }
        }
    }
}

/// Returns the time by which a request must be complete whose first byte arrived at `first_byte`.
fn request_deadline(
    first_byte: Instant,
    accepted_at: Instant,
    has_earlier_requests: bool,
) -> Instant {
    let begin = if has_earlier_requests {
        first_byte
    } else {
        accepted_at
    };
    begin + REQUEST_TIMEOUT
}

/// Returns the time by which the body of a request must have arrived whose head was complete at
/// `now`. A client that sends slowly may use the whole time of the request.
pub(super) fn body_deadline(
    first_byte: Instant,
    accepted_at: Instant,
    has_earlier_requests: bool,
    now: Instant,
) -> Instant {
    request_deadline(first_byte, accepted_at, has_earlier_requests).max(now + MIN_BODY_TIME)
}

fn close_at(time: Instant, reason: CloseReason, now: Instant) -> Verdict {
    if now >= time {
        Verdict::Close(reason)
    } else {
        Verdict::CheckAt(time)
    }
}

/// Returns when a connection with a request in flight is checked again. It cannot be idle for too
/// long before then.
fn next_check(requests: CloseRequests, now: Instant) -> Instant {
    if requests.is_closing {
        now + CLOSING_CHECK_INTERVAL
    } else {
        now + IDLE_TIMEOUT
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_limits.rs"]
mod tests;
