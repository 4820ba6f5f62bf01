//! Quota sharing in a large fleet, at the gateway that sends lease requests. The decision of the
//! quota owner that receives a lease request is in [`owner`](super::owner).
//!
//! The rules, in the order in which they apply to a request:
//! 1. [`on_arrival`]: the request may be shed, admitted on a lease that this gateway holds,
//!    rejected because too many requests of its customer ask owners, or left to an owner to decide.
//! 2. [`next_owner`]: which owner the request asks.
//! 3. [`lease_request`]: how many units beyond its own the request asks for, so that later requests
//!    need not ask.
//! 4. [`on_response`]: what follows from the owner's response.
//! 5. [`check_unsent`]: on a timer, what follows if a response is overdue or a grant has expired.
//! 6. [`permit_release`]: which gateway is notified that a request no longer needs its concurrency
//!    permit.

use super::owner::{owner_count, RESPONSE_TIMEOUT};
use crate::message::{LeaseDecision, LeaseRequest, LeaseResponse, ReturnedLease};
use crate::policy::admission::{is_deadline_too_short, Admission};
use crate::policy::load_shedding::shed_probability;
use crate::settings::HardLimit;
use crate::state::deployment::{Context, Deployment};
use crate::state::quota::{
    CustomerAccount, HeldLease, PendingLeaseRequest, QuotaOwner, QuotaOwners, QuotaState,
    RequestGrant,
};
use crate::state::request::Request;
use crate::time::{DurationExt, Timestamp};
use crate::types::{CustomerId, GatewayId, RejectReason};
use crate::units::Units;
use std::time::Duration;

/// Time after which a customer's request probability no longer limits lease requests, counted from
/// its last update by an owner.
const REQUEST_PROBABILITY_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which an unresponsive owner is not asked.
pub(crate) const OWNER_COOLDOWN: Duration = Duration::from_secs(1);
/// Number of consecutive lease requests without a response after which an owner is unresponsive.
/// Fewer may be due to lost messages.
const TIMEOUTS_UNTIL_UNRESPONSIVE: u32 = 3;
/// Maximum number of times that the response timeout is doubled for one request.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Decides on a request that has just arrived.
///
/// Both random numbers are drawn for every request, so that the sequence of random numbers does not
/// depend on the decision.
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

/// Returns the probability with which a customer's request may ask an owner: the value that an
/// owner last set, rising to 1 over [`REQUEST_PROBABILITY_LIFETIME`].
fn lease_request_probability(account: &CustomerAccount, now: Timestamp) -> f64 {
    let probability = account.lease_request_probability();
    let age_us = now.micros_since(probability.updated_at);
    let expired_fraction = (age_us / REQUEST_PROBABILITY_LIFETIME.as_micros_f64()).min(1.0);
    probability.value + (1.0 - probability.value) * expired_fraction
}

/// Chooses the owner that a request asks next.
///
/// The owners take turns, starting with the owner that granted the held lease, or with a random
/// owner if no lease with units is held. The standby owner is asked only while all others are
/// unresponsive, so that a customer over its quota does not get the standby owner's part in
/// addition.
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

/// Returns the index of the owner whose turn it is: the one after the owner asked last, or, for a
/// first lease request, the owner that granted the held lease, or else a random one.
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

/// Returns whether an owner may be asked: few consecutive lease requests to it have timed out, or
/// its cooldown has ended.
fn is_responsive(quotas: &QuotaState, now: Timestamp, owners: &QuotaOwners, index: u32) -> bool {
    let timeouts = quotas.timeouts_of(owners.gateway(index));
    timeouts.is_none_or(|timeouts| {
        timeouts.count < TIMEOUTS_UNTIL_UNRESPONSIVE || timeouts.cooldown_until <= now
    })
}

/// Creates the lease request that a request sends to an owner.
///
/// The lease request asks for a lease of the customer's recent demand in addition to the request's
/// own units, so that later requests need not ask, and returns the unused units of the held lease.
/// It asks for no lease and returns no units while the response to the last lease request that did
/// so may still arrive, because a second response would replace the lease of the first.
pub(crate) fn lease_request(
    account: &mut CustomerAccount,
    now: Timestamp,
    request: &Request,
    owner: QuotaOwner,
    sequence: u16,
) -> LeaseRequest {
    let is_response_pending = now <= account.lease_requested_at() + RESPONSE_TIMEOUT;
    let (requested_units, returned) = if is_response_pending {
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

/// Decision on a request after a quota owner's response.
pub(crate) enum ResponseDecision {
    /// The request may be sent.
    Send,
    /// The request asks an owner again.
    AskAgain,
    /// The request is rejected, because the quota is exceeded.
    Reject,
}

/// Decides what follows from an owner's response to a request.
///
/// `expires_at` is the time until which a grant may be used. If the response is a rejection,
/// `request` already counts it.
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

/// Returns whether a request that one owner has rejected asks another owner. The requests of a
/// customer far over its quota, whose request probability is below 1, do not ask again.
fn asks_another_owner(context: Context<'_>, request: &Request, response: &LeaseResponse) -> bool {
    let settings = &context.deployment.settings;
    let plan = context.deployment.plan_of(request);
    let owners = owner_count(settings, plan, settings.gateway_count);
    let quota = &request.quota;
    quota.rejections() < owners
        && quota.owner().index < owners
        && response.lease_request_probability >= 1.0
}

/// Returns whether a grant may no longer be used. Grants expire only under a hard limit, which late
/// use could exceed.
fn has_expired(hard_limit: Option<&HardLimit>, expires_at: Timestamp, now: Timestamp) -> bool {
    hard_limit.is_some() && now > expires_at
}

/// Decision, made on a timer, on a request that was never sent.
pub(crate) enum UnsentDecision {
    /// Nothing is done: the grant of the request is valid, or a response may still arrive.
    Wait,
    /// The request has neither a grant nor a pending lease request, so it asks an owner.
    RequestLease,
    /// The grant of the request has expired: its permit is released, and the request asks an owner
    /// again.
    RenewGrant(RequestGrant),
    /// The owner has not responded in time.
    TimedOut {
        /// Lease request without a response.
        pending: PendingLeaseRequest,
        /// Decision on the request for which the lease request was sent.
        next: TimeoutDecision,
    },
}

/// Decision on a request whose owner has not responded in time.
pub(crate) enum TimeoutDecision {
    /// The request asks an owner again.
    AskAgain,
    /// The request is sent: owners are unresponsive, and the customer's account at this gateway
    /// covers it.
    Send,
    /// The request is rejected: owners are unresponsive, and the account at this gateway does not
    /// cover it.
    Reject(RejectReason),
}

/// Decides on a request that was never sent, whose grant may have expired, or whose lease request
/// may have been pending for too long.
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
    UnsentDecision::TimedOut {
        pending,
        next: decide_after_timeout(hard_limit, quotas, request),
    }
}

/// Returns how long a request waits for a response after this number of timeouts. From the second
/// timeout on, the wait doubles with each timeout: in a partition, or where an owner's message
/// intake is full, more frequent lease requests would cause more losses.
fn response_timeout(timeouts: u32) -> Duration {
    let doublings = timeouts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    RESPONSE_TIMEOUT * (1 << doublings)
}

/// Decides what follows one more timeout. After [`TIMEOUTS_UNTIL_UNRESPONSIVE`] timeouts the
/// customer's account at this gateway decides. Under a hard limit it must not decide, so the
/// request keeps asking owners.
fn decide_after_timeout(
    hard_limit: Option<&HardLimit>,
    quotas: &QuotaState,
    request: &Request,
) -> TimeoutDecision {
    let timeouts = request.quota.timeouts() + 1;
    if timeouts < TIMEOUTS_UNTIL_UNRESPONSIVE || hard_limit.is_some() {
        return TimeoutDecision::AskAgain;
    }
    if quotas.account(request.customer()).is_some_and(is_covered) {
        TimeoutDecision::Send
    } else {
        TimeoutDecision::Reject(RejectReason::OwnerUnreachable)
    }
}

/// Returns whether the account covers an unsent request, whose units were charged on arrival.
fn is_covered(account: &CustomerAccount) -> bool {
    account.quota_tokens() >= Units::ZERO
}

/// Recipient of the notification that a concurrency permit is no longer needed.
pub(crate) enum PermitReleaseTarget {
    /// This gateway, which granted the permit as a quota owner.
    ThisGateway,
    /// Quota owner that granted the permit.
    Owner(GatewayId),
    /// No gateway, because the customer's plan has no concurrency permits.
    NoGateway,
}

/// Decides which gateway is notified that a request no longer needs the permit of its grant.
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
        PermitReleaseTarget::NoGateway
    }
}
