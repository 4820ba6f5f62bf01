//! The final answer to a request, by which a gateway ends it.

/// A gateway's final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A server's answer.
    Served,
    /// A rejection: sending the request again is harmless.
    Rejected,
    /// A failure.
    Failed,
}
