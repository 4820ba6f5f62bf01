//! Quota owners, an addition to the design for large fleets, where each gateway would grant a burst of its
//! own. One or two of a customer's gateways own its quota in parts; a standby owner keeps a small part in
//! case they are silent.

use crate::message::{LeaseDecision, LeaseGrant, LeaseRequest};
use crate::settings::{HardLimit, Plan, Settings};
use crate::state::permits::{even_share, PermitHolder};
use crate::state::quota_owners::QuotaOwners;
use crate::state::token_bucket::{BucketConfig, TokenBucket};
use crate::time::{DurationExt, Timestamp};
use crate::types::{CustomerId, GatewayId, GatewaySet};
use std::time::Duration;

/// Units a second that one owner looks after, as a share of the messages it takes in: lease requests have to
/// fit in.
const UNITS_PER_INTAKE: f64 = 0.6;
/// The most owners: what is left in one part is of no use to a request that asks the other.
const MAX_OWNERS: u32 = 2;
/// The standby owner's part of a quota, on top of the owners', and of a hard limit, out of the owners'.
const STANDBY_SHARE: f64 = 0.3;
/// Lease requests of one customer that an owner wants, as a share of the messages it takes in.
const WANTED_INTAKE_SHARE: f64 = 0.4;
/// Factor by which each lease request too many lowers the share of requests that may ask, and what it gains a
/// second: multiplicative decrease, additive increase.
const PROBABILITY_DECREASE: f64 = 0.97;
const PROBABILITY_INCREASE: f64 = 0.5;
/// The most of what is left that goes on one lease, so that others find some.
const MAX_LEASE_SHARE: f64 = 0.25;

/// µs that an owner may take to answer, and the shortest time that its grant holds under a hard limit.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(90);
/// µs of use that a gateway gets on lease at the most.
pub(super) const MAX_LEASE_LIFETIME: Duration = Duration::from_secs(3);
/// And the most, as a share of the time that a hard limit takes to refill.
const LEASE_REFILL_SHARE: f64 = 0.25;

/// µs for which a lease or grant may be used.
pub(crate) fn lease_lifetime(hard_limit: Option<&HardLimit>) -> Duration {
    let Some(limit) = hard_limit else {
        return MAX_LEASE_LIFETIME;
    };
    let lifetime =
        Duration::from_micros_f64(limit.capacity / limit.rate * LEASE_REFILL_SHARE * 1e6);
    lifetime.clamp(ANSWER_TIMEOUT, MAX_LEASE_LIFETIME)
}

/// How many owners a customer of a plan has, with so many gateways.
pub(super) fn owner_count(settings: &Settings, plan: &Plan, gateway_count: u32) -> u32 {
    let rate_of_one = UNITS_PER_INTAKE * settings.peer_messages_per_second;
    ((plan.rate / rate_of_one).ceil() as u32)
        .clamp(1, MAX_OWNERS)
        .min(gateway_count)
}

pub(crate) fn owners_of(
    settings: &Settings,
    customer: CustomerId,
    plan: &Plan,
    gateways: GatewaySet,
) -> QuotaOwners {
    let count = owner_count(settings, plan, gateways.count);
    QuotaOwners::new(customer, gateways, count, settings.gateway_count)
}

/// A lease request as its owner decides on it.
pub(crate) struct OwnerRequest<'a> {
    pub(crate) from: GatewayId,
    pub(crate) request: &'a LeaseRequest,
    pub(crate) owners: QuotaOwners,
    pub(crate) plan: &'a Plan,
}

impl OwnerRequest<'_> {
    /// Whether a gateway is the owner that is asked.
    pub(crate) fn is_for(&self, gateway: GatewayId) -> bool {
        self.owners.gateway(self.request.owner_index) == gateway
            && self.request.owner_index <= self.owners.count
    }

    /// A new bucket of this owner: its part of the quota, full, and of the hard limit, empty. The sum of the
    /// parts must not pass the hard limit, so the standby owner's is taken off the others'. Its part of the
    /// quota is on top: the most that a customer gains where lost messages make owners look silent.
    pub(crate) fn new_bucket(&self, settings: &Settings, now: Timestamp) -> TokenBucket {
        let max_request_units = settings.max_request_units;
        let gateways = GatewaySet {
            first: self.request.gateways.first,
            count: self.owners.count,
        };
        let config = BucketConfig {
            plan_id: self.request.plan,
            plan: self.plan,
            gateways,
            max_request_units,
        };
        let part = 1.0 / f64::from(self.owners.count);
        let has_standby = self.request.gateways.count > self.owners.count;
        let (share, hard_limit_share) = if !has_standby {
            (part, part)
        } else if self.request.owner_index < self.owners.count {
            (part, part * (1.0 - STANDBY_SHARE))
        } else {
            (STANDBY_SHARE, STANDBY_SHARE)
        };
        let grant_lifetime = lease_lifetime(self.plan.hard_limit.as_ref());
        TokenBucket::new(now, Duration::ZERO, config).into_part(
            config,
            share,
            hard_limit_share,
            grant_lifetime,
        )
    }

    /// Decides whether the request fits this part of its customer's limits, and what goes on lease beyond it.
    pub(crate) fn decide(
        &self,
        settings: &Settings,
        now: Timestamp,
        bucket: &mut TokenBucket,
    ) -> LeaseGrant {
        let plan = self.plan;
        let units = self.request.units;
        let since_refill = now.seconds_since(bucket.refilled_at);
        bucket.reclaim(self.from, self.request.returned);
        bucket.refill(now, plan, 0.0);
        bucket.used_at = now;
        throttle_requests(bucket, settings, plan, since_refill);
        let request_probability = bucket.lease_request_probability;
        bucket.permits.drop_expired(now);
        let max_permits = plan
            .max_concurrent
            .map(|limit| even_share(limit, self.owners.count, self.request.owner_index));
        let no_permit = max_permits.is_some_and(|max| bucket.permits.in_use() >= max);
        let quota_exceeded = plan.rate > 0.0 && bucket.tokens < units;
        let limit_exceeded = plan.hard_limit.is_some() && bucket.hard_limit_tokens < units;
        if no_permit || quota_exceeded || limit_exceeded {
            let decision = LeaseDecision::QuotaExceeded;
            return LeaseGrant {
                decision,
                request_probability,
                leased_units: 0.0,
            };
        }
        bucket.consume(units);
        let sequence = self.request.sequence;
        let leased_units = if max_permits.is_some() {
            let objectives = settings.classes.iter().map(|class| class.latency_objective);
            let expires_at = now + objectives.max().unwrap_or_default();
            bucket.permits.acquire(
                PermitHolder {
                    gateway: self.from,
                    sequence,
                },
                expires_at,
            );
            0.0
        } else {
            self.lease_units(bucket)
        };
        bucket.grant_lease(self.from, sequence, leased_units);
        LeaseGrant {
            decision: LeaseDecision::Granted,
            request_probability,
            leased_units,
        }
    }

    fn lease_units(&self, bucket: &TokenBucket) -> f64 {
        let left = if self.plan.rate > 0.0 {
            bucket.tokens
        } else {
            0.0
        };
        let left = self
            .plan
            .hard_limit
            .map_or(left, |_| left.min(bucket.hard_limit_tokens));
        self.request
            .requested_units
            .min(left * MAX_LEASE_SHARE)
            .max(0.0)
    }
}

/// A customer far beyond its quota would drown its owners in lease requests, so only a share of its requests
/// may ask.
fn throttle_requests(
    bucket: &mut TokenBucket,
    settings: &Settings,
    plan: &Plan,
    since_refill: f64,
) {
    let wanted = WANTED_INTAKE_SHARE * settings.peer_messages_per_second;
    bucket.lease_request_rate = bucket.lease_request_rate * (-since_refill).exp() + 1.0;
    let too_many = plan.rate > 0.0 && bucket.lease_request_rate > wanted;
    bucket.lease_request_probability = if too_many {
        bucket.lease_request_probability * PROBABILITY_DECREASE
    } else {
        (bucket.lease_request_probability + PROBABILITY_INCREASE * since_refill).min(1.0)
    };
}
