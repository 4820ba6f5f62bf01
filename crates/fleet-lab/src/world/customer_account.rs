//! A customer's use of its quota, concurrency permits and hard limit, over all gateways together.

use super::token_bucket::TokenBucket;
use super::usage_limit::{Excess, UsageLimit};
use super::START;
use gateway_core::{CustomerId, PlanId, Settings, Timestamp};

/// Units that are tolerated beyond a hard limit, as a fraction of the capacity of the limit. The
/// tolerance is at least the size of the largest request.
const HARD_LIMIT_TOLERANCE_FRACTION: f64 = 0.1;
/// Minimum fraction of the capacity of a quota that is available if the quota counts as half
/// unused.
const HALF_UNUSED_FRACTION: f64 = 0.5;

/// What the invariant checker needs to know of a customer.
#[derive(Clone, Copy, Debug)]
pub struct CustomerPlan {
    /// Id of the customer, by which descriptions of violations name it.
    pub customer: CustomerId,
    /// Plan of the customer, whose limits the customer's usage is checked against.
    pub plan: PlanId,
}

/// Effect of a request's first attempt on the limits of its customer.
pub(super) struct Charge {
    /// Whether neither the quota nor the concurrency permits are exceeded.
    pub(super) is_within_quota: bool,
    /// Use of the hard limit relative to the limit; `None` if the plan has no hard limit.
    pub(super) hard_limit_excess: Option<Excess>,
}

/// The limits of one customer, and how much of each is used.
pub(super) struct CustomerAccount {
    pub(super) id: CustomerId,
    pub(super) plan: PlanId,
    /// Remaining tokens of the quota; `None` if the plan has no quota.
    quota: Option<TokenBucket>,
    hard_limit: Option<UsageLimit>,
    /// Units that are tolerated beyond the hard limit.
    hard_limit_tolerance: f64,
    /// Number of concurrency permits; `None` if the plan does not limit concurrency.
    max_concurrent: Option<u32>,
    attempts_in_flight: u32,
}

impl CustomerAccount {
    /// Creates the account of a customer that has used nothing yet.
    pub(super) fn new(settings: &Settings, customer: CustomerPlan) -> CustomerAccount {
        let CustomerPlan { customer: id, plan } = customer;
        let limits = &settings.plans[plan.0];
        let hard_limit = limits.hard_limit.as_ref();
        let tolerance = |capacity: f64| {
            (capacity * HARD_LIMIT_TOLERANCE_FRACTION).max(settings.max_request_units.as_f64())
        };
        let has_quota = limits.rate > 0.0;
        CustomerAccount {
            id,
            plan,
            quota: has_quota.then(|| TokenBucket::full(START, limits.rate, limits.burst.as_f64())),
            hard_limit: hard_limit
                .map(|limit| UsageLimit::unused(START, limit.rate, limit.capacity.as_f64())),
            hard_limit_tolerance: hard_limit
                .map_or(0.0, |limit| tolerance(limit.capacity.as_f64())),
            max_concurrent: limits.max_concurrent,
            attempts_in_flight: 0,
        }
    }

    /// Charges the units of a request when its first attempt is sent. The hard limit is always
    /// charged; the quota only if a concurrency permit and enough tokens are left.
    pub(super) fn charge(&mut self, now: Timestamp, units: f64) -> Charge {
        let has_permit = self
            .max_concurrent
            .is_none_or(|max| self.attempts_in_flight < max);
        let quota = self.quota.as_mut();
        let is_within_quota = has_permit && quota.is_none_or(|quota| quota.try_take(now, units));
        let tolerated = self.hard_limit_tolerance;
        let hard_limit = self.hard_limit.as_mut();
        let hard_limit_excess = hard_limit.map(|limit| limit.consume(now, units, tolerated));
        Charge {
            is_within_quota,
            hard_limit_excess,
        }
    }

    /// Corrects the charge to the quota once the actual size of a request is known. `units` is the
    /// actual size minus the estimate. The charge to the hard limit is not corrected.
    pub(super) fn correct(&mut self, now: Timestamp, units: f64) {
        if let Some(quota) = &mut self.quota {
            quota.take(now, units);
        }
    }

    /// Returns whether at least half of the quota is unused and the unused part covers a request of
    /// `units` units; `false` if the plan has no quota.
    pub(super) fn is_half_unused(&mut self, now: Timestamp, units: f64) -> bool {
        let Some(quota) = &mut self.quota else {
            return false;
        };
        quota.fill_fraction(now) >= HALF_UNUSED_FRACTION && quota.tokens(now) >= units
    }

    /// Counts an attempt as in flight.
    pub(super) fn attempt_sent(&mut self) {
        self.attempts_in_flight += 1;
    }

    /// Counts an attempt as no longer in flight.
    pub(super) fn attempt_finished(&mut self) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
    }
}
