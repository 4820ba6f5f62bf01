//! The quotas of the plans, and by how much nodes may exceed them while they lack information.

use super::customers::{Customer, Plan, MAX_UNITS, PLANS};
use super::quotas::{CustomerQuota, Quota};
use super::scenario::{ScenarioSize, DEMAND_RATIOS};
use crate::time::MICROS_PER_SECOND;
use gateway_core::DurationExt;
use gateway_core::PlanId;
use std::time::Duration;

/// Messages a second that a node accepts.
pub(super) const ACCEPTED_MESSAGES_PER_SECOND: f64 = 40.0;
/// Seconds of its rate that a customer may use in one moment.
const BURST_SECONDS: f64 = 1.2;
/// Maximum time from a quota decision to the arrival of the first attempt at its server: a connection may have to be
/// opened.
const FIRST_SEND_TIME: Duration = Duration::from_millis(250);
/// As in the decision library: fraction of the messages that a node accepts which may be usage counts of its peers.
const BROADCAST_INTAKE_FRACTION: f64 = 0.7;
/// As in the decision library: minimum time between two usage counts, s.
const MIN_BROADCAST_INTERVAL_SECONDS: f64 = 0.2;
/// As in the decision library: from this time between usage counts on, quotas have owners, s.
const MIN_LEASES_BROADCAST_INTERVAL_SECONDS: f64 = 0.5;
/// Owners of a quota in a large fleet, without the standby owner.
const OWNERS_PER_QUOTA: f64 = 2.0;

/// The quotas of all plans in one scenario.
#[derive(Debug)]
pub(super) struct PlanQuotas {
    size: ScenarioSize,
    /// By plan, in units a second.
    rates: Vec<f64>,
}

impl PlanQuotas {
    /// Quotas by which the demand of all customers adds up to the rate of requests.
    pub(super) fn new(size: ScenarioSize) -> PlanQuotas {
        let rates = PLANS.iter().map(|plan| rate(plan, size.rate_per_node));
        PlanQuotas {
            size,
            rates: rates.collect(),
        }
    }

    /// Units a second that a customer of a plan may use.
    pub(super) fn rate(&self, plan: PlanId) -> f64 {
        self.rates[plan.0]
    }

    /// Units that a customer of a plan may use in one moment.
    pub(super) fn burst(&self, plan: PlanId) -> f64 {
        (self.rate(plan) * BURST_SECONDS).max(f64::from(MAX_UNITS))
    }

    /// The quota of a customer, with the tolerance that follows from what nodes can know.
    pub(super) fn of(&self, customer: &Customer) -> CustomerQuota {
        let rate = self.rate(customer.plan);
        let burst = self.burst(customer.plan);
        let in_transit_tolerance = rate * FIRST_SEND_TIME.as_micros_f64() / MICROS_PER_SECOND;
        let sharing_tolerance = if self.has_quota_owners() {
            self.owner_tolerance(burst)
        } else {
            self.usage_count_tolerance(customer, rate, burst)
        };
        CustomerQuota {
            customer: customer.id,
            quota: Quota {
                rate,
                burst,
                tolerance: in_transit_tolerance + sharing_tolerance,
                tolerance_per_second: self.size.quota_tolerance * rate,
            },
        }
    }

    /// Tolerance in a large fleet, where two owners and a standby owner keep a quota: each owner may round up to the
    /// largest request, and the standby owner's part is added.
    fn owner_tolerance(&self, burst: f64) -> f64 {
        OWNERS_PER_QUOTA * f64::from(MAX_UNITS) + self.size.quota_tolerance * burst
    }

    /// Tolerance in a small fleet, where each node sends its usage counts to the others some times a second: until
    /// then every other node may use its whole bucket, and what refills it meanwhile. Debts deeper than its bucket a
    /// node forgets, which the tolerance per second covers.
    fn usage_count_tolerance(&self, customer: &Customer, rate: f64, burst: f64) -> f64 {
        let other_nodes = f64::from(customer.node_count - 1);
        let interval = self
            .broadcast_interval_seconds()
            .max(MIN_BROADCAST_INTERVAL_SECONDS);
        other_nodes * (burst + rate * interval)
    }

    /// Time between two usage counts of a node that the rate of accepted messages allows, s.
    fn broadcast_interval_seconds(&self) -> f64 {
        f64::from(self.size.fleet_size.saturating_sub(1))
            / (ACCEPTED_MESSAGES_PER_SECOND * BROADCAST_INTAKE_FRACTION)
    }

    /// Whether quotas have owners, because usage counts would be too rare.
    fn has_quota_owners(&self) -> bool {
        self.broadcast_interval_seconds() >= MIN_LEASES_BROADCAST_INTERVAL_SECONDS
    }
}

/// The quota of a plan's customers, units a second.
fn rate(plan: &Plan, rate_per_node: f64) -> f64 {
    let mean_units = f64::from(MAX_UNITS + 1) / 2.0;
    rate_per_node * mean_units * plan.demand_fraction / DEMAND_RATIOS.iter().sum::<f64>()
}
