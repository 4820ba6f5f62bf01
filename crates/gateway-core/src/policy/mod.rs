//! Every decision of a gateway, by concern: each choice, threshold and refusal, listed as `policy` in
//! `deploy/balancer.toml`. The module `gateway` carries them out on what `state` remembers.

pub(crate) mod admission;
pub(crate) mod controller_inputs;
pub(crate) mod deadlines;
pub(crate) mod dispatch;
pub(crate) mod fleet_estimates;
pub(crate) mod fleet_mode;
pub mod fuzzy_controller;
pub(crate) mod gossip;
pub(crate) mod health_reports;
pub(crate) mod in_flight_limit;
pub(crate) mod lease;
pub(crate) mod load_balancing;
pub(crate) mod load_shedding;
pub(crate) mod outlier_detection;
pub(crate) mod quota;
pub(crate) mod quota_owner;
pub(crate) mod retry;
pub(crate) mod retry_budget;
pub(crate) mod slow_start;
