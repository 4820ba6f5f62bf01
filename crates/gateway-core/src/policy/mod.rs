//! Decisions of a gateway, grouped by concern. The module `gateway` carries them out, and `state`
//! holds the data that they are based on. `deploy/balancer.toml` lists the files of this module as
//! `policy`.
//!
//! The concerns, in the order in which they apply to a request:
//!
//! 1. At startup: `fleet_mode` chooses how gateways share quotas and observations.
//! 2. On arrival: `admission`, which uses one of the two kinds of `quota_sharing` (the gateway's
//!    own token buckets, or leases from quota owners), and `load_shedding`.
//! 3. In the queue: `dispatch`, ordered by `priority` and bounded by the `in_flight_limit`, which
//!    the `fuzzy_controller` adjusts using its `controller_inputs`.
//! 4. Server selection: `load_balancing`, with `slow_start` and `outlier_detection`.
//! 5. After an attempt: `retry`, within the `retry_budget`.
//! 6. As time passes: `deadlines`. For a rejection: `retry_after`.
//! 7. Between gateways: gossip of usage (`quota_sharing`), and `health_reports` on servers, which
//!    contribute to the `fleet_estimates`.

pub(crate) mod admission;
pub(crate) mod controller_inputs;
pub(crate) mod deadlines;
pub(crate) mod dispatch;
pub(crate) mod fleet_estimates;
pub(crate) mod fleet_mode;
pub mod fuzzy_controller;
pub(crate) mod health_reports;
pub(crate) mod in_flight_limit;
pub(crate) mod load_balancing;
pub(crate) mod load_shedding;
pub(crate) mod outlier_detection;
pub(crate) mod priority;
pub(crate) mod quota_sharing;
pub(crate) mod retry;
pub(crate) mod retry_after;
pub(crate) mod retry_budget;
pub(crate) mod slow_start;
