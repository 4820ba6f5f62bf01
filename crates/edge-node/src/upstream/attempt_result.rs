//! How an attempt ended.

use bytes::Bytes;
use gateway_core::AttemptOutcome;

/// How an attempt ended.
#[derive(Debug, PartialEq)]
pub(crate) struct AttemptResult {
    /// How it ended, in the gateway's terms.
    pub(crate) outcome: AttemptOutcome,
    /// The body of a successful response.
    pub(crate) body: Option<Bytes>,
    /// Requests in flight at the server, if its response reported them.
    pub(crate) reported_load: Option<f64>,
}
