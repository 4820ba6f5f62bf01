//! The customers of a simulation: their plans, their gateways and their demand.

use super::demand_pattern::{DemandPattern, Phase};
use super::request_size::mean_units;
use super::Rng;
use crate::time::duration_from_seconds;
use gateway_core::{CustomerId, GatewayId, PlanId, Settings, Timestamp};
use rand::Rng as _;
use std::ops::Range;

/// Rate that replaces the quota in the demand of a customer whose plan has no quota, in requests
/// per second.
const UNLIMITED_RATE_PER_SECOND: f64 = 5.0;
/// Time for which a customer prefers the same gateway, in seconds.
const PREFERENCE_SECONDS: Range<f64> = 7.8..22.0;
/// Range of customer ids, which have 33 bits in the protocol.
const CUSTOMER_IDS: Range<u64> = 1..1 << 33;
/// Number of gateways in the fleet for each gateway that a customer may use. The resulting limit on
/// a customer's gateways lies in [`MIN_GATEWAY_LIMIT`]..=[`MAX_GATEWAY_LIMIT`].
const FLEET_GATEWAYS_PER_CUSTOMER_GATEWAY: u32 = 20;
/// Lower bound of the limit on the number of a customer's gateways.
const MIN_GATEWAY_LIMIT: u32 = 4;
/// Upper bound of the limit on the number of a customer's gateways.
const MAX_GATEWAY_LIMIT: u32 = 24;
/// Minimum number of a customer's gateways, if the fleet has as many.
const MIN_GATEWAYS: u32 = 2;

/// The gateway that a customer prefers, as an offset from its first gateway, and the end of the
/// preference.
#[derive(Clone, Copy, Debug)]
struct PreferredGateway {
    offset: u32,
    until: Timestamp,
}

/// A customer, with its gateways and its demand over time.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Id of the customer, drawn at random.
    pub id: CustomerId,
    /// Plan of the customer.
    pub plan: PlanId,
    /// First of the customer's gateways; the others have the numbers that follow, wrapping around
    /// at the size of the fleet.
    pub first_gateway: GatewayId,
    /// Number of gateways that the customer uses.
    pub gateway_count: u32,
    /// Requests of mean size per second that use up the quota.
    quota_rate: f64,
    pattern: DemandPattern,
    phase: Phase,
    preferred: PreferredGateway,
    /// Additional requests per second during a flood.
    flood_rate: f64,
}

impl Customer {
    /// Returns the customer's current rate in requests per second. `surge` is the factor by which
    /// all customers multiply their usual demand.
    pub(super) fn request_rate(
        &mut self,
        rng: &mut Rng,
        now: Timestamp,
        surge: f64,
        is_flooding: bool,
    ) -> f64 {
        if now >= self.phase.until {
            self.phase = self.pattern.next_phase(rng, now, self.phase);
        }
        let quota_ratio = self.pattern.quota_ratio(self.phase.is_peak);
        let flood_rate = if is_flooding { self.flood_rate } else { 0.0 };
        self.quota_rate * quota_ratio * surge + flood_rate
    }

    /// Adds `rate` requests per second to the customer's demand during a flood.
    pub(super) fn join_flood(&mut self, rate: f64) {
        self.flood_rate += rate;
    }

    /// Draws the gateway that receives a request, among the customer's gateways that are not
    /// excluded; `None` if all of them are excluded. The probability of a gateway is inversely
    /// proportional to its rank, which is 1 for the preferred gateway.
    pub(super) fn pick_gateway(
        &mut self,
        rng: &mut Rng,
        now: Timestamp,
        fleet_size: u32,
        is_excluded: impl Fn(GatewayId) -> bool,
    ) -> Option<GatewayId> {
        self.update_preference(rng, now);
        let gateway_of_rank = |rank: u32| self.gateway_of_rank(rank, fleet_size);
        let ranks = 0..self.gateway_count;
        let available: Vec<u32> = ranks
            .filter(|rank| !is_excluded(gateway_of_rank(*rank)))
            .collect();
        let weight = |rank: &u32| 1.0 / f64::from(rank + 1);
        let mut drawn = rng.random::<f64>() * available.iter().map(weight).sum::<f64>();
        for rank in &available {
            drawn -= weight(rank);
            if drawn <= 0.0 {
                return Some(gateway_of_rank(*rank));
            }
        }
        available.last().map(|rank| gateway_of_rank(*rank))
    }

    fn update_preference(&mut self, rng: &mut Rng, now: Timestamp) {
        if now < self.preferred.until {
            return;
        }
        let until = now + duration_from_seconds(rng.random_range(PREFERENCE_SECONDS));
        let offset = rng.random_range(0..self.gateway_count);
        self.preferred = PreferredGateway { offset, until };
    }

    fn gateway_of_rank(&self, rank: u32, fleet_size: u32) -> GatewayId {
        let offset = (self.preferred.offset + rank) % self.gateway_count;
        GatewayId((self.first_gateway.0 + offset) % fleet_size)
    }
}

/// Draws customers of one plan until their demand within their quotas reaches the plan's equal part
/// of `total_rate` requests per second.
pub(super) fn draw_customers(
    rng: &mut Rng,
    now: Timestamp,
    settings: &Settings,
    plan: PlanId,
    total_rate: f64,
) -> Vec<Customer> {
    let target_rate = total_rate / settings.plans.len() as f64;
    let mut customers = Vec::new();
    let mut rate_within_quota = 0.0;
    while rate_within_quota < target_rate {
        let customer = draw_customer(rng, now, settings, plan);
        rate_within_quota += customer.quota_rate * customer.pattern.mean_ratio_within_quota();
        customers.push(customer);
    }
    // The last customer brings the sum above the target, so the steady ratios of all customers are
    // scaled down a little.
    for customer in &mut customers {
        customer.pattern = customer.pattern.scaled(target_rate / rate_within_quota);
    }
    customers
}

fn draw_customer(rng: &mut Rng, now: Timestamp, settings: &Settings, plan: PlanId) -> Customer {
    let max_gateways = max_gateways_per_customer(settings.gateway_count);
    // The values are drawn in the order of these fields, which therefore must not change.
    Customer {
        id: CustomerId(rng.random_range(CUSTOMER_IDS)),
        pattern: DemandPattern::draw(rng),
        first_gateway: GatewayId(rng.random_range(0..settings.gateway_count)),
        gateway_count: rng.random_range(max_gateways.min(MIN_GATEWAYS)..=max_gateways),
        plan,
        quota_rate: quota_rate(settings, plan),
        phase: Phase {
            is_peak: false,
            until: now,
        },
        preferred: PreferredGateway {
            offset: 0,
            until: now,
        },
        flood_rate: 0.0,
    }
}

/// Returns the requests of mean size per second that use up the quota of a customer of a plan.
fn quota_rate(settings: &Settings, plan: PlanId) -> f64 {
    let quota = settings.plans[plan.0].rate;
    if quota > 0.0 {
        quota / mean_units(settings.max_request_units.as_f64())
    } else {
        UNLIMITED_RATE_PER_SECOND
    }
}

/// Returns the maximum number of a customer's gateways in a fleet.
fn max_gateways_per_customer(fleet_size: u32) -> u32 {
    let limit = (fleet_size / FLEET_GATEWAYS_PER_CUSTOMER_GATEWAY)
        .clamp(MIN_GATEWAY_LIMIT, MAX_GATEWAY_LIMIT);
    fleet_size.min(limit)
}
