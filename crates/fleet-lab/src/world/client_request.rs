//! A client's request, the errors that a client can get, and its retry.

use gateway_core::{ClassId, Timestamp};
use std::time::Duration;

/// A request as a client sends it to a gateway.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Index of the customer that sends the request.
    pub customer: usize,
    /// Class of the request, which its retries keep.
    pub class: ClassId,
    /// Estimated size in units, which the client sends with the request.
    pub estimated_units: f64,
    /// Actual size in units, which the answer reports.
    pub actual_units: f64,
    /// Time at which the client gives up, retries included.
    pub deadline: Timestamp,
    /// Time at which the client disconnects; `None` if it waits for its answer.
    pub disconnect_at: Option<Timestamp>,
    /// Number of retries so far: 0 for the first try of the client.
    pub retries: u32,
}

/// The reason why a client did not get an answer from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// A gateway rejected the request.
    Rejected {
        /// Time after which the client should try again; `None` if the rejection did not say.
        retry_after: Option<Duration>,
    },
    /// The request failed, or the client got no answer.
    Failed,
    /// The client could not reach a gateway.
    Unreachable,
}

/// A retry that a client is going to send.
#[derive(Clone, Debug)]
pub struct ClientRetry {
    /// Time at which the client sends the retry.
    pub at: Timestamp,
    /// The request with its retry count increased.
    pub request: ClientRequest,
}
