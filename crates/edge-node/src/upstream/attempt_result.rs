//! The result of an attempt.

use bytes::Bytes;
use gateway_core::AttemptOutcome;

#[derive(Debug, PartialEq)]
pub(crate) struct AttemptResult {
    /// Outcome that is reported to the gateway.
    pub(crate) outcome: AttemptOutcome,
    /// Body of a successful response; `None` for any other outcome.
    pub(crate) body: Option<Bytes>,
    /// Number of requests in flight at the server, if its response reported it.
    pub(crate) reported_load: Option<f64>,
}
