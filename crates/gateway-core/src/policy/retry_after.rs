//! `Retry-After`: when the client of a rejected request is told to return.
//!
//! The rules:
//! 1. A client that lacks units is told the time at which its customer's account will have them.
//!    Clients of one customer that compete for the same units are told one time after the other
//!    ([`units_available_at`]).
//! 2. No client is told to return before the mean latency has passed, in which servers without
//!    capacity finish requests.
//! 3. The settings may allow no `Retry-After`, or limit it ([`retry_after`]).

use super::quota_sharing::gossip::units_reserved_for_peers;
use crate::settings::Plan;
use crate::state::deployment::Context;
use crate::state::quota::{CustomerAccount, MissingUnits};
use crate::state::request::Request;
use crate::time::{DurationExt, Timestamp};
use crate::types::RejectReason;
use crate::units::Units;
use std::time::Duration;

/// Returns the `Retry-After` of a request that is rejected for `reason`; `None` if the settings
/// allow none. `account` is the account of the request's customer, if it has one.
pub(crate) fn retry_after(
    context: Context<'_>,
    account: Option<&mut CustomerAccount>,
    request: &Request,
    reason: RejectReason,
) -> Option<Duration> {
    let maximum = context.deployment.settings.permissions.max_retry_after?;
    let servers_at = context.now + Duration::from_micros_f64(context.fleet.mean_latency_us());
    let return_at = match account {
        Some(account) => {
            units_available_at(context, account, request, reason, maximum).max(servers_at)
        }
        None => servers_at,
    };
    Some(return_at.duration_since(context.now).min(maximum))
}

/// Returns when `account` is likely to have the units of a rejected request, at most `maximum` from
/// now, and reserves that time: the next client that lacks units is told a later one.
fn units_available_at(
    context: Context<'_>,
    account: &mut CustomerAccount,
    request: &Request,
    reason: RejectReason,
    maximum: Duration,
) -> Timestamp {
    let plan = &context.deployment.settings.plans[account.plan().0];
    let units_per_second = refill_rate(context, account, plan);
    let missing = missing_units(context, account, request);
    let refilled_at = account.refilled_with_at(plan, &missing, units_per_second);
    let refill_time = account.refill_time(plan, request.units(), units_per_second);
    let available_at = if refilled_at > context.now {
        refilled_at.max(account.promised_until() + refill_time)
    } else if is_for_lack_of_units(reason) {
        // The quota owner has too few units, which the account here does not show.
        context.now + refill_time
    } else {
        return context.now;
    };
    let available_at = available_at.min(context.now + maximum);
    account.promise_units_until(available_at);
    available_at
}

/// Returns the units per second that are refilled for this gateway: those that peers leave, but at
/// least its even part.
fn refill_rate(context: Context<'_>, account: &mut CustomerAccount, plan: &Plan) -> f64 {
    let even_part = plan.rate / account.gateway_count();
    let left_by_peers = plan.rate - account.peer_units_per_second(context.now);
    left_by_peers.max(even_part)
}

/// Returns the units that a retry of a rejected request needs beyond those that have been charged
/// for it. A request that was sent has consumed its units, so its retry needs new ones.
fn missing_units(
    context: Context<'_>,
    account: &mut CustomerAccount,
    request: &Request,
) -> MissingUnits {
    let uncharged = if request.was_sent() {
        request.units()
    } else {
        Units::ZERO
    };
    MissingUnits {
        quota: uncharged + units_reserved_for_peers(context, account),
        hard_limit: request.units(),
    }
}

fn is_for_lack_of_units(reason: RejectReason) -> bool {
    matches!(
        reason,
        RejectReason::QuotaExceeded | RejectReason::LeaseRequestThrottled
    )
}
