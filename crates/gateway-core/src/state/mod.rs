//! What a gateway remembers, each type with its methods in a file. Nothing is decided here: thresholds,
//! choices and refusals are in [`policy`](crate::policy), which passes in the weights and durations that it
//! wants applied.

pub(crate) mod attempt;
pub(crate) mod deployment;
pub(crate) mod latency_samples;
pub(crate) mod quota;
pub(crate) mod request;
pub(crate) mod request_table;
pub(crate) mod servers;
