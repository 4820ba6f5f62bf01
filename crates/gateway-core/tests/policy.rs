//! The decisions of the library, by concern: each module is named as the one of `src/policy` that it tests, but for
//! `gateway`, which tests them together.

#[path = "policy/admission.rs"]
mod admission;
mod common;
#[path = "policy/deadlines.rs"]
mod deadlines;
#[path = "policy/fuzzy_controller.rs"]
mod fuzzy_controller;
#[path = "policy/gateway.rs"]
mod gateway;
#[path = "policy/gossip.rs"]
mod gossip;
#[path = "policy/lease.rs"]
mod lease;
#[path = "policy/load_balancing.rs"]
mod load_balancing;
#[path = "policy/load_shedding.rs"]
mod load_shedding;
#[path = "policy/outlier_detection.rs"]
mod outlier_detection;
#[path = "policy/quota.rs"]
mod quota;
#[path = "policy/quota_owner.rs"]
mod quota_owner;
#[path = "policy/retry.rs"]
mod retry;
#[path = "policy/slow_start.rs"]
mod slow_start;
