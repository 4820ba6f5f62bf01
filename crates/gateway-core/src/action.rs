//! Actions: everything that a gateway asks the embedding program to do.

use crate::types::{AttemptNumber, GatewayId, RequestId, ServerId};
use crate::warning::Warning;
use std::time::Duration;

/// Something to be done; the output of [`Gateway::handle`](crate::Gateway::handle), to be carried
/// out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a request to a server. The attempts of a request are numbered from 0 in the order of
    /// these actions.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The server to forward it to.
        server: ServerId,
        /// How long to wait for the answer; `None` for as long as the client waits.
        timeout: Option<Duration>,
    },
    /// Give the client its final answer: rejected. The client may safely retry the request.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries (`Retry-After`); `None` to leave that
        /// to the client.
        retry_after: Option<Duration>,
    },
    /// Give the client its final answer: failed. The request may have been executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for the answer to an attempt. That it has ended is still to be reported with an
    /// [`Event::AttemptFinished`](crate::Event::AttemptFinished).
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The number of the attempt within the request.
        attempt: AttemptNumber,
    },
    /// Send a message to all other gateways.
    Broadcast {
        /// The encoded message, of at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Send a message to one other gateway.
    SendToPeer {
        /// The gateway to send it to.
        to: GatewayId,
        /// The encoded message, of at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Report an [`Event::TimerFired`](crate::Event::TimerFired) after a delay. A timer that was
    /// set before may fire as well.
    SetTimer {
        /// The delay.
        after: Duration,
        /// To be returned with the event. It is always 0: a timer that was replaced is recognised by
        /// its time.
        token: u64,
    },
    /// Start to watch the endpoint list, and report it with an
    /// [`Event::EndpointsUpdated`](crate::Event::EndpointsUpdated).
    WatchEndpoints,
    /// Log a warning for operators.
    Warn(Warning),
}
