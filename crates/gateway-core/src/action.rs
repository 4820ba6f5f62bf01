//! Actions: everything that a gateway asks its shell to do.

use crate::types::{AttemptNumber, GatewayId, RequestId, ServerId};
use crate::warning::Warning;
use std::time::Duration;

/// Output of [`Gateway::handle`](crate::Gateway::handle), to be carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward the request to a server. A request's attempts are numbered from 0 in the order sent.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// Give the attempt up after this many µs; `None` for the client's deadline.
        timeout: Option<Duration>,
    },
    /// Final answer: rejected. It has not run, so that the client may safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// How many µs the client should wait before it retries.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed. It may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
    },
    /// Send a message to every other gateway.
    Broadcast {
        /// The encoded message, 256 bytes at most.
        bytes: Vec<u8>,
    },
    /// Send a message to one other gateway.
    SendToPeer {
        /// The recipient.
        to: GatewayId,
        /// The encoded message, 256 bytes at most.
        bytes: Vec<u8>,
    },
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) later.
    SetTimer {
        /// After this many µs.
        after: Duration,
        /// Returned with the event.
        token: u64,
    },
    /// Start to watch the endpoint list.
    WatchEndpoints,
    /// Warn operators, in the log.
    Warn(Warning),
}
