//! Quota sharing in a large fleet, as seen by the gateway that asks for leases. What it asks the customer's
//! quota owners for is decided there, in [`owner`](super::owner).
//!
//! The rules, in the order in which a request meets them:
//! 1. [`on_arrival`]: it may be shed, sent on a lease that this gateway holds, rejected because too many of its
//!    customer's requests ask, or sent to ask an owner.
//! 2. [`next_owner`]: which owner it asks.
//! 3. [`renew`]: which units beyond its own it asks for, so that later requests need not ask.
//! 4. [`on_response`]: what follows from the owner's response.
//! 5. [`check_unsent`]: on a timer, what follows when a response is overdue or a grant has expired.

use super::owner::{owner_count, RESPONSE_TIMEOUT};
use crate::message::{LeaseDecision, LeaseResponse, ReturnedLease};
use crate::policy::admission::{is_deadline_too_short, Admission};
use crate::policy::load_shedding::shed_probability;
use crate::settings::HardLimit;
use crate::state::deployment::{Context, Deployment};
use crate::state::quota::{
    CustomerAccount, PendingLease, QuotaOwner, QuotaOwners, QuotaState, RequestGrant,
};
use crate::state::request::Request;
use crate::time::{DurationExt, Timestamp};
use crate::types::RejectReason;
use crate::units::Units;
use std::time::Duration;

/// Time after which a gateway no longer limits the fraction of a customer's requests that may ask its owners.
const REQUEST_PROBABILITY_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which an unresponsive owner is not asked.
pub(crate) const OWNER_COOLDOWN: Duration = Duration::from_secs(1);
/// Consecutive lease requests without a response that make an owner unresponsive. Fewer may be lost messages.
const MISSES_UNTIL_UNRESPONSIVE: u32 = 3;
/// How often the response timeout is doubled for one request.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Decides on a request that has just arrived.
///
/// Both random numbers are drawn for every request, so that their sequence doesn't depend on the outcome.
pub(super) fn on_arrival(
    context: Context<'_>,
    account: &mut CustomerAccount,
    request: &Request,
    random: &mut fastrand::Rng,
) -> Admission {
    let now = context.now;
    let is_shed = random.f64() < shed_probability(context, request);
    let is_throttled = random.f64() > request_probability(account, now);
    if is_deadline_too_short(context, request) {
        return Admission::Reject(RejectReason::DeadlineTooShort);
    }
    if is_shed {
        return Admission::Reject(RejectReason::LoadShed);
    }
    if let Some(expires_at) = account.consume_lease(now, request.units()) {
        return Admission::AdmitOnLease(RequestGrant {
            owner: context.deployment.settings.gateway_id,
            sequence: account.held_lease().sequence(),
            expires_at,
        });
    }
    if is_throttled {
        return Admission::Reject(RejectReason::LeaseRequestThrottled);
    }
    Admission::AskOwner
}

/// Probability with which a customer's request may ask an owner: what an owner last set, rising to 1 over
/// [`REQUEST_PROBABILITY_LIFETIME`].
fn request_probability(account: &CustomerAccount, now: Timestamp) -> f64 {
    let probability = account.request_probability();
    let age_us = now.micros_since(probability.updated_at);
    let expired_fraction = (age_us / REQUEST_PROBABILITY_LIFETIME.as_micros_f64()).min(1.0);
    probability.value + (1.0 - probability.value) * expired_fraction
}

/// The owner that a request asks next. The owners take turns, starting with the one that granted the held
/// lease, else with a random one. The standby owner is asked only while all others are unresponsive: a customer
/// over its quota must not get the standby's part on top.
pub(crate) fn next_owner(
    quotas: &QuotaState,
    now: Timestamp,
    owners: QuotaOwners,
    request: &Request,
    random: &mut fastrand::Rng,
) -> QuotaOwner {
    let start = first_owner_index(quotas, owners, request, random);
    let is_responsive = |index: &u32| is_responsive(quotas, now, &owners, *index);
    let turns = (0..owners.count()).map(|step| (start + step) % owners.count());
    let index = turns
        .chain([owners.count()])
        .find(is_responsive)
        .unwrap_or(start % owners.count());
    QuotaOwner {
        index,
        gateway: owners.gateway(index),
    }
}

/// Index of the owner whose turn it is: after the one asked last, or, for a first lease request, the one that
/// granted the held lease.
fn first_owner_index(
    quotas: &QuotaState,
    owners: QuotaOwners,
    request: &Request,
    random: &mut fastrand::Rng,
) -> u32 {
    if !request.quota.is_first_try() {
        return request.quota.owner().index + 1;
    }
    let account = quotas.account(request.customer());
    account
        .map(CustomerAccount::held_lease)
        .filter(|lease| lease.has_units() && lease.owner_index() < owners.count())
        .map_or_else(
            || random.u32(0..owners.count()),
            |lease| lease.owner_index(),
        )
}

/// Whether an owner has responded recently enough to be asked.
fn is_responsive(quotas: &QuotaState, now: Timestamp, owners: &QuotaOwners, index: u32) -> bool {
    let misses = quotas.misses_of(owners.gateway(index));
    misses.is_none_or(|misses| {
        misses.count < MISSES_UNTIL_UNRESPONSIVE || misses.cooldown_until <= now
    })
}

/// A lease as it is asked for.
#[derive(Default)]
pub(crate) struct LeaseRenewal {
    /// Units asked for beyond the request's own.
    pub(crate) requested_units: Units,
    /// What remains of the held lease.
    pub(crate) returned: ReturnedLease,
}

/// The units that a lease request asks for beyond the request's own, and the rest of the held lease that it
/// returns. Nothing while a response may be on its way: a second one would replace it.
pub(crate) fn renew(
    account: &mut CustomerAccount,
    now: Timestamp,
    units: Units,
    owner_index: u32,
) -> LeaseRenewal {
    if now <= account.lease_requested_at() + RESPONSE_TIMEOUT {
        return LeaseRenewal::default();
    }
    LeaseRenewal {
        requested_units: account.recent_demand() - units,
        returned: account.request_lease(now, owner_index),
    }
}

/// What follows from an owner's response.
pub(crate) enum ResponseDecision {
    /// The request may be sent.
    Send,
    /// An owner is asked once more.
    AskAgain,
    /// The quota is exceeded.
    Reject,
}

/// Decides what follows from an owner's response to a request. `expires_at`: until when a grant may be used;
/// `request` counts the response already, if it is a rejection.
pub(crate) fn on_response(
    context: Context<'_>,
    request: &Request,
    response: &LeaseResponse,
    expires_at: Timestamp,
) -> ResponseDecision {
    let hard_limit = context.deployment.plan_of(request).hard_limit.as_ref();
    match response.decision {
        LeaseDecision::Granted if has_expired(hard_limit, expires_at, context.now) => {
            ResponseDecision::AskAgain
        }
        LeaseDecision::Granted => ResponseDecision::Send,
        LeaseDecision::QuotaExceeded if asks_another_owner(context, request, response) => {
            ResponseDecision::AskAgain
        }
        LeaseDecision::QuotaExceeded => ResponseDecision::Reject,
    }
}

/// Whether a request that one owner has rejected asks another one. A customer far over its quota has a request
/// probability below 1, and its requests don't ask again.
fn asks_another_owner(context: Context<'_>, request: &Request, response: &LeaseResponse) -> bool {
    let settings = &context.deployment.settings;
    let plan = context.deployment.plan_of(request);
    let owners = owner_count(settings, plan, settings.gateway_count);
    let quota = &request.quota;
    quota.rejections() < owners
        && quota.owner().index < owners
        && response.request_probability >= 1.0
}

/// Whether a grant must not be used any more. Only a hard limit could be exceeded by late use.
fn has_expired(hard_limit: Option<&HardLimit>, expires_at: Timestamp, now: Timestamp) -> bool {
    hard_limit.is_some() && now > expires_at
}

/// What is done on a timer about a request that was never sent.
pub(crate) enum UnsentDecision {
    /// Nothing: its grant holds, or a response may still come.
    Wait,
    /// It has neither a grant nor a pending lease request, so it asks an owner.
    RequestLease,
    /// Its grant has expired: the permit is released, and it asks again.
    RenewGrant(RequestGrant),
    /// Its owner has not responded in time.
    Missed {
        pending: PendingLease,
        next: AfterMiss,
    },
}

/// What follows when an owner has not responded in time.
pub(crate) enum AfterMiss {
    /// An owner is asked once more.
    AskAgain,
    /// Owners are unresponsive, and the customer's account here covers the request.
    Send,
    /// Owners are unresponsive, and the account here is short too.
    Reject(RejectReason),
}

/// Decides what is done about a request that was never sent: whether its grant has expired, or its lease
/// request has been pending for too long. `account`: its customer's.
pub(crate) fn check_unsent(
    deployment: &Deployment,
    now: Timestamp,
    request: &Request,
    account: Option<&CustomerAccount>,
) -> UnsentDecision {
    let hard_limit = deployment.plan_of(request).hard_limit.as_ref();
    if let Some(grant) = request.quota.grant() {
        return if has_expired(hard_limit, grant.expires_at, now) {
            UnsentDecision::RenewGrant(grant)
        } else {
            UnsentDecision::Wait
        };
    }
    let Some(pending) = request.quota.pending() else {
        return UnsentDecision::RequestLease;
    };
    if now <= pending.sent_at + response_timeout(request.quota.misses()) {
        return UnsentDecision::Wait;
    }
    UnsentDecision::Missed {
        pending,
        next: after_miss(request.quota.misses() + 1, hard_limit, account),
    }
}

/// How long a request with so many misses waits for a response. From the second miss on the time doubles: in a
/// partition, or where an owner's message intake is full, repeated lease requests would cause more losses.
fn response_timeout(misses: u32) -> Duration {
    let doublings = misses.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    RESPONSE_TIMEOUT * (1 << doublings)
}

/// Decides what follows a miss. After enough of them the customer's account here decides; under a hard limit it
/// must not, so the request goes on asking. `misses`: those of this request, with the latest one.
fn after_miss(
    misses: u32,
    hard_limit: Option<&HardLimit>,
    account: Option<&CustomerAccount>,
) -> AfterMiss {
    if misses < MISSES_UNTIL_UNRESPONSIVE || hard_limit.is_some() {
        AfterMiss::AskAgain
    } else if account.is_some_and(is_covered) {
        AfterMiss::Send
    } else {
        AfterMiss::Reject(RejectReason::OwnerUnreachable)
    }
}

/// Whether the account here covers an unsent request, whose units were deducted on arrival.
fn is_covered(account: &CustomerAccount) -> bool {
    account.quota_tokens() >= Units::ZERO
}
