//! Leases, as the gateway that asks for them. A request asks one of its customer's quota owners before it is
//! first sent, and the other one if that is short; with all silent the own bucket decides. What a gateway
//! takes in is bounded, so owners grant units on lease ahead of the requests of a gateway that sees many.

use super::quota_owner::{owner_count, ANSWER_TIMEOUT};
use crate::message::LeaseGrant;
use crate::settings::HardLimit;
use crate::state::deployment::Context;
use crate::state::lease::LeaseRenewal;
use crate::state::quota_owners::QuotaOwners;
use crate::state::quota_state::QuotaState;
use crate::state::request::{PendingLeaseRequest, QuotaOwner, Request};
use crate::state::token_bucket::TokenBucket;
use crate::time::Timestamp;
use std::time::Duration;

/// µs for which an unresponsive owner is passed over.
pub(crate) const OWNER_COOLDOWN: Duration = Duration::from_secs(1);
/// Lease requests on end without an answer that make an owner unresponsive: one alone may be a lost message.
const MISSES_UNTIL_UNRESPONSIVE: u32 = 3;
/// How often the time to answer is doubled for one request.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// What a request asks for beyond its own units: nothing while an answer may be on its way, which a second
/// one would replace.
pub(crate) fn renew(
    bucket: &mut TokenBucket,
    now: Timestamp,
    units: f64,
    owner_index: u32,
) -> LeaseRenewal {
    if now <= bucket.lease.requested_at + ANSWER_TIMEOUT {
        return LeaseRenewal::default();
    }
    bucket.lease.requested_at = now;
    let requested_units = bucket.recent_demand - units;
    LeaseRenewal {
        requested_units,
        returned: bucket.lease.give_back(owner_index),
    }
}

/// The owner that a request asks next: they take turns, and the standby owner is asked only while these are
/// unresponsive, as a customer beyond its quota must not have the standby's part on top.
pub(crate) fn next_owner(
    quotas: &QuotaState,
    now: Timestamp,
    owners: QuotaOwners,
    request: &Request,
    random: &mut fastrand::Rng,
) -> QuotaOwner {
    let lease = quotas
        .local
        .get(&request.customer())
        .map(|bucket| &bucket.lease);
    let held = lease.filter(|lease| lease.units > 0.0 && lease.owner_index < owners.count);
    let start = if !request.quota.is_first_try() {
        request.quota.owner.index + 1
    } else {
        held.map_or_else(|| random.u32(0..owners.count), |lease| lease.owner_index)
    };
    let is_responsive = |index: &u32| {
        let misses = quotas.unresponsive.get(&owners.gateway(*index));
        misses.is_none_or(|misses| {
            misses.count < MISSES_UNTIL_UNRESPONSIVE || misses.cooldown_until <= now
        })
    };
    let turns = (0..owners.count).map(|step| (start + step) % owners.count);
    let index = turns
        .chain([owners.count])
        .find(is_responsive)
        .unwrap_or(start % owners.count);
    QuotaOwner {
        index,
        gateway: owners.gateway(index),
    }
}

/// Whether a request that one owner has rejected asks another: not if its customer is far beyond its quota.
pub(crate) fn asks_another_owner(
    context: Context<'_>,
    request: &Request,
    grant: LeaseGrant,
) -> bool {
    let settings = &context.deployment.settings;
    let owners = owner_count(
        settings,
        context.deployment.plan_of(request),
        settings.gateway_count,
    );
    let quota = &request.quota;
    quota.rejections < owners && quota.owner.index < owners && grant.request_probability >= 1.0
}

/// Whether a grant may not be used any more: used late, it could pass a hard limit.
pub(crate) fn has_expired(
    hard_limit: Option<&HardLimit>,
    expires_at: Timestamp,
    now: Timestamp,
) -> bool {
    hard_limit.is_some() && now > expires_at
}

/// Whether an owner has not answered in time. From the second miss on that time doubles: in a partition, or
/// where an intake is full, each request would ask on and on, so that still more messages are lost.
pub(crate) fn is_missed(request: &Request, pending: PendingLeaseRequest, now: Timestamp) -> bool {
    let doublings = request
        .quota
        .misses
        .saturating_sub(1)
        .min(MAX_BACKOFF_DOUBLINGS);
    now > pending.sent_at + ANSWER_TIMEOUT * (1 << doublings)
}

/// Whether the own bucket decides on a request, as its owners are silent; it may not under a hard limit.
pub(crate) fn decides_alone(request: &Request, hard_limit: Option<&HardLimit>) -> bool {
    request.quota.misses >= MISSES_UNTIL_UNRESPONSIVE && hard_limit.is_none()
}

/// Whether the own bucket then covers it; its units are off the tokens already.
pub(crate) fn is_covered(bucket: Option<&TokenBucket>) -> bool {
    bucket.is_some_and(|bucket| bucket.tokens >= 0.0)
}
