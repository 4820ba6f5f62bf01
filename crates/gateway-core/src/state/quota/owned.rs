//! The part of a customer's quota that this gateway owns.

use super::hard_limit_bucket::HardLimitBucket;
use super::ledger::LeaseLedger;
use super::permits::{ConcurrencyPermits, PermitHolder};
use super::token_bucket::TokenBucket;
use super::MIN_IDLE;
use crate::message::ReturnedLease;
use crate::settings::Plan;
use crate::time::Timestamp;
use crate::types::{GatewayId, PlanId};
use crate::units::Units;
use std::time::Duration;

/// What an owned part is made from.
#[derive(Clone, Copy)]
pub(crate) struct OwnedQuotaConfig<'a> {
    /// The plan that the first lease request names.
    pub(crate) plan_id: PlanId,
    /// Its limits.
    pub(crate) plan: &'a Plan,
    /// Fraction of the quota that the owner has.
    pub(crate) quota_fraction: f64,
    /// Fraction of the hard limit that it has.
    pub(crate) hard_limit_fraction: f64,
    /// How long its grants may be used.
    pub(crate) grant_lifetime: Duration,
    /// Units of the largest request.
    pub(crate) max_request_units: Units,
}

/// A part of a customer's quota and hard limit, what of it is on lease to other gateways, and how
/// often these ask.
pub(crate) struct OwnedQuota {
    /// The plan that it was made for.
    plan: PlanId,
    /// What remains of this part of the quota.
    quota: TokenBucket,
    /// What fraction of the quota this part is.
    quota_fraction: f64,
    /// What remains of this part of the hard limit.
    hard_limit: HardLimitBucket,
    refilled_at: Timestamp,
    /// When a lease request last came in.
    last_used_at: Timestamp,
    /// What is on lease to other gateways.
    ledger: LeaseLedger,
    /// Permits of the limit on attempts in flight.
    permits: ConcurrencyPermits,
    /// Lease requests in about a second.
    lease_request_rate: f64,
    /// Probability with which the customer's requests may ask.
    lease_request_probability: f64,
}

impl OwnedQuota {
    /// A part of the quota, full, and of the hard limit, empty.
    pub(crate) fn new(now: Timestamp, part: OwnedQuotaConfig<'_>) -> Self {
        let burst_capacity = (part.plan.burst * part.quota_fraction).max(part.max_request_units);
        OwnedQuota {
            plan: part.plan_id,
            quota: TokenBucket::new(burst_capacity, burst_capacity),
            quota_fraction: part.quota_fraction,
            hard_limit: HardLimitBucket::empty(part.hard_limit_fraction, part.grant_lifetime),
            refilled_at: now,
            last_used_at: Timestamp::EPOCH,
            ledger: LeaseLedger::default(),
            permits: ConcurrencyPermits::default(),
            lease_request_rate: 0.0,
            lease_request_probability: 1.0,
        }
    }

    /// The plan that it was made for.
    pub(crate) fn plan(&self) -> PlanId {
        self.plan
    }

    /// A lease request has come in: what its sender returns is taken back, this part is refilled up
    /// to now, and permits that have expired are released. Returns the seconds since the last
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

    /// Refills at the rate of a plan.
    pub(crate) fn refill(&mut self, now: Timestamp, plan: &Plan) {
        let seconds = now.seconds_since(self.refilled_at);
        self.refilled_at = now;
        let refill = Units::refilled(self.quota_fraction * plan.rate, seconds);
        self.quota.refill(refill, plan.burst * self.quota_fraction);
        if let Some(limit) = &plan.hard_limit {
            self.hard_limit.refill(limit, seconds);
        }
    }

    /// Tokens of this part of the quota.
    pub(crate) fn quota_tokens(&self) -> Units {
        self.quota.tokens()
    }

    /// Units that this part of the hard limit still allows.
    pub(crate) fn hard_limit_tokens(&self) -> Units {
        self.hard_limit.tokens()
    }

    /// Takes units for a request that uses them immediately.
    pub(crate) fn consume(&mut self, units: Units) {
        self.quota.take(units);
        self.hard_limit.take(units);
    }

    /// Grants units on lease; they count as used until they are returned.
    pub(crate) fn grant_lease(&mut self, to: GatewayId, sequence: u16, units: Units) {
        self.consume(units);
        self.ledger.grant(to, sequence, units);
    }

    /// Takes back what remains of a gateway's lease.
    pub(crate) fn reclaim(&mut self, from: GatewayId, returned: ReturnedLease) {
        if let Some(units) = self.ledger.reclaim(from, returned) {
            self.quota.put_back(units);
            self.hard_limit.put_back(units);
        }
    }

    /// Concurrency permits in use.
    pub(crate) fn permits_in_use(&self) -> usize {
        self.permits.in_use()
    }

    /// Hands out a concurrency permit, which expires by itself.
    pub(crate) fn acquire_permit(&mut self, holder: PermitHolder, expires_at: Timestamp) {
        self.permits.acquire(holder, expires_at);
    }

    /// Takes back a concurrency permit, if it is still in use.
    pub(crate) fn release_permit(&mut self, holder: PermitHolder) {
        self.permits.release(holder);
    }

    /// Counts a lease request, so many seconds after the last one. Returns how many there were in
    /// about a second.
    pub(crate) fn record_lease_request(&mut self, seconds: f64) -> f64 {
        self.lease_request_rate = self.lease_request_rate * (-seconds).exp() + 1.0;
        self.lease_request_rate
    }

    /// Probability with which the customer's requests may ask.
    pub(crate) fn lease_request_probability(&self) -> f64 {
        self.lease_request_probability
    }

    /// Lowers that probability by a factor.
    pub(crate) fn decrease_request_probability(&mut self, ratio: f64) {
        self.lease_request_probability *= ratio;
    }

    /// Raises that probability, up to 1.
    pub(crate) fn increase_request_probability(&mut self, gain: f64) {
        self.lease_request_probability = (self.lease_request_probability + gain).min(1.0);
    }

    /// Whether dropping it neither gains nor loses anything: it has long been unused, and is full.
    pub(crate) fn is_idle(&mut self, now: Timestamp, plan: &Plan) -> bool {
        if now.duration_since(self.last_used_at) < MIN_IDLE {
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
