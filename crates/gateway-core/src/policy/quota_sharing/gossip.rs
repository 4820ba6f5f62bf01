//! Quota sharing in a small fleet: each gateway broadcasts its usage, and admits requests by its
//! own token buckets.
//!
//! The rules, in the order in which they apply to a request:
//! 1. [`on_arrival`]: a request is rejected if its customer's account holds too few units.
//! 2. [`allows_first_attempt`]: a queued request waits while a hard limit or a concurrency limit is
//!    reached.
//! 3. [`UsageBroadcasts`]: on a timer, this gateway notifies its peers of the units that it has
//!    forwarded for each customer.
//! 4. [`merge_usage`]: the units that a peer has forwarded for a customer are drained from the
//!    customer's account at this gateway.

use super::account::{observe_incarnation, PARTITION_SILENCE};
use crate::message::UsageCounts;
use crate::policy::admission::{is_deadline_too_short, Admission};
use crate::policy::fleet_mode::broadcast_interval;
use crate::settings::{Plan, Settings};
use crate::state::deployment::Context;
use crate::state::quota::{CustomerAccount, QuotaState};
use crate::state::request::Request;
use crate::statistics::poisson_below;
use crate::time::{Timestamp, MICROS_PER_SECOND};
use crate::types::{GatewayId, RejectReason};
use crate::units::Units;
use std::time::Duration;

/// Delay, in seconds, with which this gateway is assumed to be notified of peers' usage. As many
/// units as peers forward in that time are reserved for them.
const USAGE_DELAY_SECONDS: f64 = 0.5;
/// Upper bound of the accepted probability that a first attempt exceeds the customer's limit on
/// attempts in flight.
const MAX_EXCESS_PROBABILITY: f64 = 0.1;
/// Shortest time between two broadcasts of usage.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which broadcasts repeat a customer's usage after its last increase, because messages
/// may be lost.
pub(crate) const USAGE_LIFETIME: Duration = Duration::from_secs(1);

/// Decides on a request that has just arrived, by its deadline and by the tokens in its customer's
/// account.
pub(super) fn on_arrival(
    context: Context<'_>,
    account: &mut CustomerAccount,
    request: &Request,
) -> Admission {
    let is_over_quota = is_quota_exceeded(context, account, request);
    if is_deadline_too_short(context, request) {
        Admission::Reject(RejectReason::DeadlineTooShort)
    } else if is_over_quota {
        Admission::Reject(RejectReason::QuotaExceeded)
    } else {
        Admission::Admit
    }
}

/// Returns whether the account holds too few units for a request once
/// [`units_reserved_for_peers`] are set aside.
fn is_quota_exceeded(
    context: Context<'_>,
    account: &mut CustomerAccount,
    request: &Request,
) -> bool {
    let plan = &context.deployment.settings.plans[account.plan().0];
    let reserved = units_reserved_for_peers(context, account);
    plan.has_quota() && account.quota_tokens() - reserved < request.units()
}

/// Returns the units that are reserved for peers' usage that this gateway has not been notified of
/// yet. At most the peers' part of the burst is reserved, because peers have no claim to this
/// gateway's even part.
pub(in crate::policy) fn units_reserved_for_peers(
    context: Context<'_>,
    account: &mut CustomerAccount,
) -> Units {
    let plan = &context.deployment.settings.plans[account.plan().0];
    let peer_units_per_second = account.peer_units_per_second(context.now);
    Units::refilled(peer_units_per_second, USAGE_DELAY_SECONDS)
        .min(account.excess_burst(plan))
        .max(Units::ZERO)
}

/// Returns whether the customer's limits allow the first attempt of a queued request now; if not,
/// the request stays in the queue.
pub(super) fn allows_first_attempt(
    quotas: &mut QuotaState,
    context: Context<'_>,
    request: &Request,
) -> bool {
    let Some(entry) = quotas.account_entry(request.customer()) else {
        return true;
    };
    let plans = &context.deployment.settings.plans;
    let account = entry.into_refilled(context.now, plans, &PARTITION_SILENCE);
    let plan = &plans[account.plan().0];
    if plan.hard_limit.is_some() && account.hard_limit_tokens() < request.units() {
        return false;
    }
    is_below_concurrency_limit(context, account, plan)
}

/// Returns whether one more attempt stays within this gateway's even part of the plan's limit on
/// attempts in flight, and is likely to stay within the whole limit.
///
/// The number of attempts that peers have in flight is unknown; it is modelled as a Poisson
/// variable whose mean is the peers' usage in units per second times the mean latency.
fn is_below_concurrency_limit(
    context: Context<'_>,
    account: &mut CustomerAccount,
    plan: &Plan,
) -> bool {
    let Some(limit) = plan.max_concurrent else {
        return true;
    };
    let even_part = (f64::from(limit) / account.gateway_count())
        .round()
        .max(1.0);
    let expected_at_peers = account.peer_units_per_second(context.now)
        * context.fleet.mean_latency_us()
        / MICROS_PER_SECOND;
    let below_limit_probability = poisson_below(
        limit.saturating_sub(account.attempts_in_flight()),
        expected_at_peers,
    );
    f64::from(account.attempts_in_flight()) < even_part
        && 1.0 - below_limit_probability < MAX_EXCESS_PROBABILITY
}

/// Schedule of the usage broadcasts of this gateway.
#[derive(Clone, Copy)]
pub(crate) struct UsageBroadcasts {
    /// Time between two broadcasts; `None` if this gateway sends none, because there are no peers
    /// or the settings allow no messages between gateways.
    interval: Option<Duration>,
}

impl UsageBroadcasts {
    /// Creates a schedule that broadcasts as often as the peers' message intake allows, but no more
    /// often than every [`MIN_BROADCAST_INTERVAL`].
    pub(super) fn new(settings: &Settings) -> Self {
        let intake_interval = broadcast_interval(settings);
        UsageBroadcasts {
            interval: intake_interval.map(|interval| interval.max(MIN_BROADCAST_INTERVAL)),
        }
    }

    /// Returns whether there are peers to which messages may be sent.
    pub(super) fn has_recipients(self) -> bool {
        self.interval.is_some()
    }

    /// Returns when the next broadcast is due if one is sent now.
    pub(crate) fn next_after(self, now: Timestamp) -> Timestamp {
        now + self.interval.unwrap_or_default()
    }
}

/// Merges a peer's usage: the units that the peer has forwarded since its last message are drained
/// from the customers' accounts at this gateway. Customers without an account here are ignored.
pub(crate) fn merge_usage(
    quotas: &mut QuotaState,
    settings: &Settings,
    now: Timestamp,
    from: GatewayId,
    usage: &UsageCounts,
) {
    quotas.record_message(now, from);
    observe_incarnation(quotas, settings, now, usage.incarnation);
    for customer_usage in &usage.counts {
        let Some(entry) = quotas.account_entry(customer_usage.customer) else {
            continue;
        };
        let account = entry.into_refilled(now, &settings.plans, &PARTITION_SILENCE);
        account.merge_peer_usage(now, from, usage.incarnation, customer_usage.count);
    }
}
