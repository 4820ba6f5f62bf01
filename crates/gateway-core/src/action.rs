//! Actions: what a gateway asks the embedding program to do.

use crate::time::Timestamp;
use crate::types::{AttemptNumber, GatewayId, RequestId, ServerId};
use crate::warning::Warning;
use std::time::Duration;

/// An output of [`Gateway::handle`](crate::Gateway::handle). The embedding program carries out all
/// actions in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a request to a server. The attempts of a request are numbered from 0 in the order of
    /// these actions.
    SendAttempt {
        /// Id of the request from its [`Event::RequestReceived`](crate::Event::RequestReceived).
        id: RequestId,
        /// The server to forward the request to.
        server: ServerId,
        /// How long to wait for the answer; `None` to wait for as long as the client does.
        timeout: Option<Duration>,
        /// Latest time at which a byte of the attempt may be written to the server; `None` without
        /// such a limit. Establishing a connection may take longer than that. The attempt then ends
        /// without being written, because the request might otherwise be executed twice.
        write_deadline: Option<Timestamp>,
    },
    /// Answer the client that the request is rejected. The client may safely retry it.
    Reject {
        /// Id of the request from its [`Event::RequestReceived`](crate::Event::RequestReceived).
        id: RequestId,
        /// How long the client should wait before it retries (`Retry-After`); `None` to let the
        /// client choose.
        retry_after: Option<Duration>,
    },
    /// Answer the client that the request has failed. It may have been executed.
    Fail {
        /// Id of the request from its [`Event::RequestReceived`](crate::Event::RequestReceived).
        id: RequestId,
    },
    /// Stop waiting for the answer to an attempt. The end of the attempt must still be reported
    /// with an [`Event::AttemptFinished`](crate::Event::AttemptFinished).
    CancelAttempt {
        /// Id of the request from its [`Event::RequestReceived`](crate::Event::RequestReceived).
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
        /// The gateway to send the message to.
        to: GatewayId,
        /// The encoded message, of at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Report an [`Event::TimerFired`](crate::Event::TimerFired) after a delay. Timers that were
    /// set earlier need not be cancelled.
    SetTimer {
        /// Time until the timer fires.
        after: Duration,
        /// Value to return with the event. It is always 0, because the gateway recognises a
        /// replaced timer by the time at which it fires.
        token: u64,
    },
    /// Start to watch the endpoint list, and report the list and its changes with
    /// [`Event::EndpointsUpdated`](crate::Event::EndpointsUpdated).
    WatchEndpoints,
    /// Log a warning for operators.
    Warn(Warning),
}
