//! Quotas of the plans, and how far nodes may exceed them because they lack information.

use super::customers::{Customer, Plan, MAX_UNITS, PLANS};
use super::quotas::{CustomerQuota, Quota};
use super::scenario::{ScenarioSize, DEMAND_RATIOS};
use crate::time::MICROS_PER_SECOND;
use gateway_core::DurationExt;
use gateway_core::PlanId;
use std::time::Duration;

/// Messages per second that a node accepts from its peers.
pub(super) const ACCEPTED_MESSAGES_PER_SECOND: f64 = 40.0;
/// Burst of a quota, in seconds of its rate.
const BURST_SECONDS: f64 = 1.2;
/// Maximum time between a quota decision and the arrival of the first attempt at its server, which
/// may include opening a connection.
const FIRST_SEND_TIME: Duration = Duration::from_millis(250);
/// Fraction of the messages accepted by a node that may be usage counts of its peers; the same
/// value as in the decision library.
const BROADCAST_INTAKE_FRACTION: f64 = 0.7;
/// Minimum interval between two broadcasts of usage counts, in seconds; the same value as in the
/// decision library.
const MIN_BROADCAST_INTERVAL_SECONDS: f64 = 0.2;
/// Interval between two broadcasts of usage counts at and above which quotas have owners, in
/// seconds; the same value as in the decision library.
const MIN_LEASES_BROADCAST_INTERVAL_SECONDS: f64 = 0.5;
/// Number of owners of a quota in a large fleet, not counting the standby owner.
const OWNERS_PER_QUOTA: f64 = 2.0;

/// Quotas of all plans in one scenario.
#[derive(Debug)]
pub(super) struct PlanQuotas {
    size: ScenarioSize,
    /// Rates of the quotas by plan, in units per second.
    rates: Vec<f64>,
}

impl PlanQuotas {
    /// Computes quotas for which the demand of all customers adds up to the request rate of the
    /// scenario.
    pub(super) fn new(size: ScenarioSize) -> PlanQuotas {
        let rates = PLANS.iter().map(|plan| rate(plan, size.rate_per_node));
        PlanQuotas {
            size,
            rates: rates.collect(),
        }
    }

    /// Returns the units per second that a customer of a plan may use.
    pub(super) fn rate(&self, plan: PlanId) -> f64 {
        self.rates[plan.0]
    }

    /// Returns the units that a customer of a plan may use at once.
    pub(super) fn burst(&self, plan: PlanId) -> f64 {
        (self.rate(plan) * BURST_SECONDS).max(f64::from(MAX_UNITS))
    }

    /// Returns the quota of a customer, with the tolerance that follows from the information that
    /// nodes lack.
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

    /// Returns the tolerance in units in a large fleet, where two owners and a standby owner keep
    /// each quota: each owner may round up to the largest request, and the standby owner's part is
    /// added.
    fn owner_tolerance(&self, burst: f64) -> f64 {
        OWNERS_PER_QUOTA * f64::from(MAX_UNITS) + self.size.quota_tolerance * burst
    }

    /// Returns the tolerance in units in a small fleet, where each node broadcasts its usage counts
    /// a few times per second: until the next broadcast, every other node may use a whole token
    /// bucket and its refill. A node forgets debts beyond the capacity of its bucket; the tolerance
    /// per second covers them.
    fn usage_count_tolerance(&self, customer: &Customer, rate: f64, burst: f64) -> f64 {
        let other_nodes = f64::from(customer.node_count - 1);
        let interval = self
            .broadcast_interval_seconds()
            .max(MIN_BROADCAST_INTERVAL_SECONDS);
        other_nodes * (burst + rate * interval)
    }

    /// Returns the interval between two broadcasts of a node that the rate of accepted messages
    /// allows, in seconds.
    fn broadcast_interval_seconds(&self) -> f64 {
        f64::from(self.size.fleet_size.saturating_sub(1))
            / (ACCEPTED_MESSAGES_PER_SECOND * BROADCAST_INTAKE_FRACTION)
    }

    /// Returns whether quotas have owners, because usage counts would be broadcast too rarely.
    fn has_quota_owners(&self) -> bool {
        self.broadcast_interval_seconds() >= MIN_LEASES_BROADCAST_INTERVAL_SECONDS
    }
}

/// Returns the rate of the quota of a plan's customers, in units per second.
fn rate(plan: &Plan, rate_per_node: f64) -> f64 {
    let mean_units = f64::from(MAX_UNITS + 1) / 2.0;
    rate_per_node * mean_units * plan.demand_fraction / DEMAND_RATIOS.iter().sum::<f64>()
}
