//! The kinds of final answers to a request.

/// A gateway's final answer, which ends the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The answer of a server.
    Served,
    /// A rejection, which tells the client that it may send the request again.
    Rejected,
    /// A failure: the request may have run.
    Failed,
}
