//! The state of a gateway. Each type maintains its own invariants. Decisions about requests are
//! made in [`policy`](crate::policy), which passes in most weights and durations; the constants
//! defined here are limits of a data structure, such as the window over which a peer's usage is
//! summed.

pub(crate) mod attempt;
pub(crate) mod deployment;
pub(crate) mod latency_samples;
pub(crate) mod quota;
pub(crate) mod request;
pub(crate) mod request_table;
pub(crate) mod servers;
