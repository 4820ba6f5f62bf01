//! The state of servers at a gateway: the table of all servers, the health of each server, and
//! estimates of the fleet.

mod class_health;
mod fleet_estimates;
mod hash_ring;
mod latency_estimates;
mod ranked_set;
mod server;
mod server_index;
mod server_table;
mod slow_start_credit;

pub(crate) use class_health::ClassHealth;
pub(crate) use fleet_estimates::FleetEstimates;
pub(crate) use latency_estimates::{LatencyDecay, LatencyEstimates};
pub(crate) use server::{ConnectBackoff, Server};
pub(crate) use server_table::{Candidate, CandidateQuery, ServerTable};
pub(crate) use slow_start_credit::SlowStartCredit;
