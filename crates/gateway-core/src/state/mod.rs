//! What a gateway remembers. Each type keeps its own invariants. What is decided about requests
//! stands in [`policy`](crate::policy), which passes in most weights and durations; the exceptions
//! are bounds of a representation, such as the window in which a peer's usage counts.

pub(crate) mod attempt;
pub(crate) mod deployment;
pub(crate) mod latency_samples;
pub(crate) mod quota;
pub(crate) mod request;
pub(crate) mod request_table;
pub(crate) mod servers;
