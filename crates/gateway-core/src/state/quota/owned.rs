//! The part of a customer's quota that this gateway holds as a quota owner.

use super::hard_limit_bucket::HardLimitBucket;
use super::ledger::LeaseLedger;
use super::permits::{ConcurrencyPermits, PermitHolder};
use super::token_bucket::TokenBucket;
use crate::message::ReturnedLease;
use crate::settings::Plan;
use crate::time::Timestamp;
use crate::types::{GatewayId, PlanId};
use crate::units::Units;
use std::time::Duration;

/// The parameters from which an owned quota is created.
#[derive(Clone, Copy)]
pub(crate) struct OwnedQuotaConfig<'a> {
    /// The plan named by the first lease request for the customer.
    pub(crate) plan_id: PlanId,
    pub(crate) plan: &'a Plan,
    /// Fraction of the plan's rate and burst that this gateway owns.
    pub(crate) quota_fraction: f64,
    /// Fraction of the hard limit that this gateway owns.
    pub(crate) hard_limit_fraction: f64,
    /// How long granted units may be used.
    pub(crate) grant_lifetime: Duration,
    /// Units of the largest request that clients may send.
    pub(crate) max_request_units: Units,
}

/// The owned part of a customer's quota and hard limit, the leases granted from it, and the rate of
/// lease requests.
pub(crate) struct OwnedQuota {
    /// The plan whose limits apply.
    plan: PlanId,
    /// The tokens that remain of the owned part of the quota.
    quota: TokenBucket,
    /// Fraction of the plan's rate and burst that this gateway owns.
    quota_fraction: f64,
    /// The units that remain of the owned part of the hard limit.
    hard_limit: HardLimitBucket,
    /// When the quota and the hard limit were last refilled.
    refilled_at: Timestamp,
    /// When a lease request was last received; the epoch if never.
    last_used_at: Timestamp,
    /// The latest lease granted to each gateway.
    ledger: LeaseLedger,
    /// The concurrency permits in use.
    permits: ConcurrencyPermits,
    /// Lease requests per second: a sum that decays exponentially with a time constant of 1 s.
    lease_request_rate: f64,
    /// Probability, from 0 to 1, with which a request of the customer may ask a quota owner.
    lease_request_probability: f64,
}

impl OwnedQuota {
    /// Creates an owned quota with a full token bucket and an empty bucket for the hard limit.
    pub(crate) fn new(now: Timestamp, config: OwnedQuotaConfig<'_>) -> Self {
        let burst_capacity =
            (config.plan.burst * config.quota_fraction).max(config.max_request_units);
        OwnedQuota {
            plan: config.plan_id,
            quota: TokenBucket::new(burst_capacity, burst_capacity),
            quota_fraction: config.quota_fraction,
            hard_limit: HardLimitBucket::empty(config.hard_limit_fraction, config.grant_lifetime),
            refilled_at: now,
            last_used_at: Timestamp::EPOCH,
            ledger: LeaseLedger::default(),
            permits: ConcurrencyPermits::default(),
            lease_request_rate: 0.0,
            lease_request_probability: 1.0,
        }
    }

    /// Returns the plan whose limits apply.
    pub(crate) fn plan(&self) -> PlanId {
        self.plan
    }

    /// Prepares for the decision on a lease request: reclaims the units that its sender returns,
    /// refills up to now, and releases expired permits. Returns the seconds since the previous
    /// refill.
    pub(crate) fn begin_lease_request(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        from: GatewayId,
        returned: ReturnedLease,
    ) -> f64 {
        let seconds = now.seconds_since(self.refilled_at);
        self.reclaim(from, returned);
        self.refill(now, plan);
        self.last_used_at = now;
        self.permits.drop_expired(now);
        seconds
    }

    /// Refills the owned parts of the quota and of the hard limit up to now.
    pub(crate) fn refill(&mut self, now: Timestamp, plan: &Plan) {
        let seconds = now.seconds_since(self.refilled_at);
        self.refilled_at = now;
        let refill = Units::refilled(self.quota_fraction * plan.rate, seconds);
        self.quota.refill(refill, plan.burst * self.quota_fraction);
        if let Some(limit) = &plan.hard_limit {
            self.hard_limit.refill(limit, seconds);
        }
    }

    /// Returns the tokens of the owned part of the quota; negative if it is in debt.
    pub(crate) fn quota_tokens(&self) -> Units {
        self.quota.tokens()
    }

    /// Returns the units that the owned part of the hard limit still allows.
    pub(crate) fn hard_limit_tokens(&self) -> Units {
        self.hard_limit.tokens()
    }

    /// Takes units from the owned parts of the quota and of the hard limit.
    pub(crate) fn consume(&mut self, units: Units) {
        self.quota.take(units);
        self.hard_limit.take(units);
    }

    /// Grants a lease. The leased units count as used, except those that the gateway returns later.
    pub(crate) fn grant_lease(&mut self, to: GatewayId, sequence: u16, units: Units) {
        self.consume(units);
        self.ledger.grant(to, sequence, units);
    }

    /// Puts back the units that remain of a gateway's lease, if the ledger accepts their return.
    pub(crate) fn reclaim(&mut self, from: GatewayId, returned: ReturnedLease) {
        if let Some(units) = self.ledger.reclaim(from, returned) {
            self.quota.put_back(units);
            self.hard_limit.put_back(units);
        }
    }

    /// Returns the number of concurrency permits in use.
    pub(crate) fn permits_in_use(&self) -> usize {
        self.permits.in_use()
    }

    /// Grants a concurrency permit, which expires at `expires_at` unless it is released before.
    pub(crate) fn acquire_permit(&mut self, holder: PermitHolder, expires_at: Timestamp) {
        self.permits.acquire(holder, expires_at);
    }

    /// Releases a concurrency permit, if it is still in use.
    pub(crate) fn release_permit(&mut self, holder: PermitHolder) {
        self.permits.release(holder);
    }

    /// Counts a lease request, and returns the rate of lease requests per second. `seconds` is the
    /// time over which the previous rate decays.
    pub(crate) fn record_lease_request(&mut self, seconds: f64) -> f64 {
        self.lease_request_rate = self.lease_request_rate * (-seconds).exp() + 1.0;
        self.lease_request_rate
    }

    /// Returns the probability, from 0 to 1, with which a request of the customer may ask a quota
    /// owner.
    pub(crate) fn lease_request_probability(&self) -> f64 {
        self.lease_request_probability
    }

    /// Multiplies the lease request probability by `ratio`, which is at most 1.
    pub(crate) fn decrease_request_probability(&mut self, ratio: f64) {
        self.lease_request_probability *= ratio;
    }

    /// Adds `gain` to the lease request probability, up to 1.
    pub(crate) fn increase_request_probability(&mut self, gain: f64) {
        self.lease_request_probability = (self.lease_request_probability + gain).min(1.0);
    }

    /// Returns whether the owned quota may be evicted: it has been unused for `min_idle`, no
    /// permits are in use, and a refill up to now fills the quota and the hard limit.
    pub(crate) fn is_idle(&mut self, now: Timestamp, min_idle: Duration, plan: &Plan) -> bool {
        if now.duration_since(self.last_used_at) < min_idle {
            return false;
        }
        self.refill(now, plan);
        self.permits.drop_expired(now);
        let hard_limit = plan.hard_limit.as_ref();
        let is_hard_limit_full = hard_limit.is_none_or(|limit| self.hard_limit.is_full(limit));
        let is_quota_full =
            !plan.has_quota() || self.quota.is_full(plan.burst * self.quota_fraction);
        is_hard_limit_full && is_quota_full && self.permits.in_use() == 0
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/owned_quota.rs"]
mod tests;
