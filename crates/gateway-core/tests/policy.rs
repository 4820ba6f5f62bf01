//! Tests of the policy decisions, grouped by concern. Each module is named after the module of
//! `src/policy` that it tests, except for `gateway`, which tests all of them together, `quota`,
//! `lease`, `quota_owner` and `customer_limit`, which test `quota_sharing`, and `gossip`, which tests the messages
//! between gateways.

#[path = "policy/admission.rs"]
mod admission;
mod common;
#[path = "policy/controller_inputs.rs"]
mod controller_inputs;
#[path = "policy/customer_limit.rs"]
mod customer_limit;
#[path = "policy/deadlines.rs"]
mod deadlines;
#[path = "policy/dispatch.rs"]
mod dispatch;
#[path = "policy/fuzzy_controller.rs"]
mod fuzzy_controller;
#[path = "policy/gateway.rs"]
mod gateway;
#[path = "policy/gossip.rs"]
mod gossip;
#[path = "policy/in_flight_limit.rs"]
mod in_flight_limit;
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
#[path = "policy/retry_after.rs"]
mod retry_after;
#[path = "policy/retry_budget.rs"]
mod retry_budget;
#[path = "policy/slow_start.rs"]
mod slow_start;
