//! A client's request, and how a client takes an error.

use gateway_core::{ClassId, Timestamp};
use std::time::Duration;

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Whose it is, by index among the customers.
    pub customer: usize,
    /// Its class.
    pub class: ClassId,
    /// Its size as estimated beforehand, in units.
    pub estimated_units: f64,
    /// Its size as its answer reports it, in units.
    pub actual_units: f64,
    /// When the client gives up, retries included.
    pub deadline: Timestamp,
    /// When the client disconnects, if it does.
    pub disconnect_at: Option<Timestamp>,
    /// How many times the client has already tried.
    pub retries: u32,
}

/// Why a client did not get what it asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The request was rejected.
    Rejected {
        /// After what time to try again.
        retry_after: Option<Duration>,
    },
    /// The request failed, or there was no answer.
    Failed,
    /// No gateway could be reached.
    Unreachable,
}

/// A client's retry.
#[derive(Clone, Debug)]
pub struct ClientRetry {
    /// When.
    pub at: Timestamp,
    /// The request as it is sent then.
    pub request: ClientRequest,
}
