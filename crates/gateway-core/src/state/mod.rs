//! What a gateway remembers, each type with its methods in a file. Nothing is decided here: thresholds,
//! choices and refusals are in [`policy`](crate::policy), which passes in the weights and durations that it
//! wants applied.

pub(crate) mod attempt;
pub(crate) mod deployment;
pub(crate) mod latency_samples;
pub(crate) mod lease;
pub(crate) mod peer_usage;
pub(crate) mod permits;
pub(crate) mod quota_owners;
pub(crate) mod quota_state;
pub(crate) mod request;
pub(crate) mod request_table;
pub(crate) mod servers;
pub(crate) mod token_bucket;
