//! What a gateway remembers. Each type keeps its own invariants; nothing is decided here. The
//! thresholds and choices are in [`policy`](crate::policy), which passes in the weights and
//! durations that are to be applied.

pub(crate) mod attempt;
pub(crate) mod deployment;
pub(crate) mod latency_samples;
pub(crate) mod quota;
pub(crate) mod request;
pub(crate) mod request_table;
pub(crate) mod servers;
