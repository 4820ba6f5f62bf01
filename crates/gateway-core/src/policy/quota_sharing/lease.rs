//! Quota sharing in a large fleet, as seen by the gateway that asks for leases. What it asks the
//! customer's quota owners for is decided there, in [`owner`](super::owner).
//!
//! The rules, in the order in which a request meets them:
//! 1. [`on_arrival`]: it may be shed, sent on a lease that this gateway holds, rejected because too
//!    many of its customer's requests ask, or sent to ask an owner.
//! 2. [`next_owner`]: which owner it asks.
//! 3. [`lease_request`]: which units beyond its own it asks for, so that later requests need not
//!    ask.
//! 4. [`on_response`]: what follows from the owner's response.
//! 5. [`check_unsent`]: on a timer, what follows when a response is overdue or a grant has expired.
//! 6. [`permit_release`]: which gateway is notified that a request no longer needs its concurrency
//!    permit.

use super::owner::{owner_count, RESPONSE_TIMEOUT};
use crate::message::{LeaseDecision, LeaseRequest, LeaseResponse, ReturnedLease};
use crate::policy::admission::{is_deadline_too_short, Admission};
use crate::policy::load_shedding::shed_probability;
use crate::settings::HardLimit;
use crate::state::deployment::{Context, Deployment};
use crate::state::quota::{
    CustomerAccount, HeldLease, PendingLease, QuotaOwner, QuotaOwners, QuotaState, RequestGrant,
};
use crate::state::request::Request;
use crate::time::{DurationExt, Timestamp};
use crate::types::{CustomerId, GatewayId, RejectReason};
use crate::units::Units;
use std::time::Duration;

/// Time after which a gateway no longer limits the fraction of a customer's requests that may ask
/// its owners.
const REQUEST_PROBABILITY_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which an unresponsive owner is not asked.
pub(crate) const OWNER_COOLDOWN: Duration = Duration::from_secs(1);
/// Consecutive lease requests without a response that make an owner unresponsive. Fewer may be lost
/// messages.
const MISSES_UNTIL_UNRESPONSIVE: u32 = 3;
/// How often the response timeout is doubled for one request.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Decides on a request that has just arrived.
///
/// Both random numbers are drawn for every request, so that their sequence doesn't depend on the
/// outcome.
pub(super) fn on_arrival(
    context: Context<'_>,
    account: &mut CustomerAccount,
    request: &Request,
    random: &mut fastrand::Rng,
) -> Admission {
    let now = context.now;
    let is_shed = random.f64() < shed_probability(context, request);
    let is_throttled = random.f64() > lease_request_probability(account, now);
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

/// Probability with which a customer's request may ask an owner: what an owner last set, rising to
/// 1 over [`REQUEST_PROBABILITY_LIFETIME`].
fn lease_request_probability(account: &CustomerAccount, now: Timestamp) -> f64 {
    let probability = account.lease_request_probability();
    let age_us = now.micros_since(probability.updated_at);
    let expired_fraction = (age_us / REQUEST_PROBABILITY_LIFETIME.as_micros_f64()).min(1.0);
    probability.value + (1.0 - probability.value) * expired_fraction
}

/// The owner that a request asks next. The owners take turns, starting with the one that granted
/// the held lease, else with a random one. The standby owner is asked only while all others are
/// unresponsive: a customer over its quota must not get the standby's part on top.
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
        .chain([owners.standby_index()])
        .find(is_responsive)
        .unwrap_or(start % owners.count());
    QuotaOwner {
        index,
        gateway: owners.gateway(index),
    }
}

/// Index of the owner whose turn it is: after the one asked last, or, for a first lease request,
/// the one that granted the held lease.
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
        .filter(|lease| lease.has_units() && owners.is_regular(lease.owner_index()))
        .map_or_else(|| random.u32(0..owners.count()), HeldLease::owner_index)
}

/// Whether an owner has responded recently enough to be asked.
fn is_responsive(quotas: &QuotaState, now: Timestamp, owners: &QuotaOwners, index: u32) -> bool {
    let misses = quotas.timeouts_of(owners.gateway(index));
    misses.is_none_or(|misses| {
        misses.count < MISSES_UNTIL_UNRESPONSIVE || misses.cooldown_until <= now
    })
}

/// A request's lease request to an owner.
///
/// Beyond the request's own units it asks for the customer's recent demand, so that later requests
/// need not ask, and returns the rest of the held lease. It does neither while a response to the
/// last such request may be on its way: a second response would replace the first one's lease.
pub(crate) fn lease_request(
    account: &mut CustomerAccount,
    now: Timestamp,
    request: &Request,
    owner: QuotaOwner,
    sequence: u16,
) -> LeaseRequest {
    let is_lease_on_its_way = now <= account.lease_requested_at() + RESPONSE_TIMEOUT;
    let (requested_units, returned) = if is_lease_on_its_way {
        (Units::ZERO, ReturnedLease::default())
    } else {
        let requested_units = account.recent_demand() - request.units();
        (
            requested_units,
            account.record_lease_request(now, owner.index),
        )
    };
    LeaseRequest {
        sequence,
        customer: request.customer(),
        plan: request.plan(),
        gateways: account.gateways(),
        owner_index: owner.index,
        units: request.units(),
        requested_units,
        returned,
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

/// Decides what follows from an owner's response to a request. `expires_at`: until when a grant may
/// be used; `request` counts the response already, if it is a rejection.
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

/// Whether a request that one owner has rejected asks another one. A customer far over its quota
/// has a request probability below 1, and its requests don't ask again.
fn asks_another_owner(context: Context<'_>, request: &Request, response: &LeaseResponse) -> bool {
    let settings = &context.deployment.settings;
    let plan = context.deployment.plan_of(request);
    let owners = owner_count(settings, plan, settings.gateway_count);
    let quota = &request.quota;
    quota.rejections() < owners
        && quota.owner().index < owners
        && response.lease_request_probability >= 1.0
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
        /// The lease request.
        pending: PendingLease,
        /// What follows for the request.
        next: MissDecision,
    },
}

/// What follows when an owner has not responded in time.
pub(crate) enum MissDecision {
    /// An owner is asked once more.
    AskAgain,
    /// Owners are unresponsive, and the customer's account here covers the request.
    Send,
    /// Owners are unresponsive, and the account here is short too.
    Reject(RejectReason),
}

/// Decides what is done about a request that was never sent: whether its grant has expired, or its
/// lease request has been pending for too long.
pub(crate) fn check_unsent(
    deployment: &Deployment,
    quotas: &QuotaState,
    now: Timestamp,
    request: &Request,
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
    if now <= pending.sent_at + response_timeout(request.quota.timeouts()) {
        return UnsentDecision::Wait;
    }
    UnsentDecision::Missed {
        pending,
        next: after_miss(hard_limit, quotas, request),
    }
}

/// How long a request with so many misses waits for a response. From the second miss on the time
/// doubles: in a partition, or where an owner's message intake is full, repeated lease requests
/// would cause more losses.
fn response_timeout(misses: u32) -> Duration {
    let doublings = misses.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    RESPONSE_TIMEOUT * (1 << doublings)
}

/// Decides what follows one more miss. After enough of them the customer's account here decides;
/// under a hard limit it must not, so the request goes on asking.
fn after_miss(
    hard_limit: Option<&HardLimit>,
    quotas: &QuotaState,
    request: &Request,
) -> MissDecision {
    let misses = request.quota.timeouts() + 1;
    if misses < MISSES_UNTIL_UNRESPONSIVE || hard_limit.is_some() {
        return MissDecision::AskAgain;
    }
    if quotas.account(request.customer()).is_some_and(is_covered) {
        MissDecision::Send
    } else {
        MissDecision::Reject(RejectReason::OwnerUnreachable)
    }
}

/// Whether the account covers an unsent request, whose units were charged on arrival.
fn is_covered(account: &CustomerAccount) -> bool {
    account.quota_tokens() >= Units::ZERO
}

/// Who is notified that a concurrency permit is no longer needed.
pub(crate) enum PermitReleaseTarget {
    /// This gateway, which granted it as an owner.
    ThisGateway,
    /// The owner that granted it.
    Owner(GatewayId),
    /// Nobody: the customer's plan has no permits.
    Nobody,
}

/// Decides who is notified that a request no longer needs the permit of its grant.
pub(crate) fn permit_release(
    deployment: &Deployment,
    quotas: &QuotaState,
    customer: CustomerId,
    grant: RequestGrant,
) -> PermitReleaseTarget {
    let settings = &deployment.settings;
    if grant.owner == settings.gateway_id {
        return PermitReleaseTarget::ThisGateway;
    }
    let plan = quotas
        .account(customer)
        .map(|account| &settings.plans[account.plan().0]);
    if plan.is_some_and(|plan| plan.max_concurrent.is_some()) {
        PermitReleaseTarget::Owner(grant.owner)
    } else {
        PermitReleaseTarget::Nobody
    }
}
