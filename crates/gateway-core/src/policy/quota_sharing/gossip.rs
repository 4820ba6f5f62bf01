//! Quota sharing in a small fleet: each gateway broadcasts its usage, and its own token buckets
//! decide.
//!
//! The rules, in the order in which a request meets them:
//! 1. [`on_arrival`]: a request whose customer's account is short of units is rejected.
//! 2. [`allows_first_attempt`]: a queued request waits while a hard limit or a concurrency limit is
//!    reached.
//! 3. [`UsageBroadcasts`]: on a timer, this gateway notifies its peers of what it has forwarded.
//! 4. [`merge_usage`]: what a peer has forwarded is drained from the accounts of the customers.

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

/// How many seconds of the peers' usage are reserved: so much they may have forwarded without this
/// gateway having been notified yet.
const USAGE_DELAY_SECONDS: f64 = 0.5;
/// Largest probability, weighted with the cost of exceeding the limit, that a first attempt exceeds
/// the customer's limit on attempts in flight.
const MAX_CONCURRENCY_RISK: f64 = 0.2;
/// Shortest time between two broadcasts of usage.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the usage of a customer is repeated after it last rose, as messages may be lost.
pub(crate) const USAGE_LIFETIME: Duration = Duration::from_secs(1);

/// Decides on a request that has just arrived, by the tokens in its customer's account.
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

/// Whether the account is short of a request's units, less what is reserved for usage of the peers
/// that this gateway has not been notified of yet. Only the peers' part of the burst is reserved:
/// the even part of this gateway is its own.
fn is_quota_exceeded(
    context: Context<'_>,
    account: &mut CustomerAccount,
    request: &Request,
) -> bool {
    let plan = &context.deployment.settings.plans[account.plan().0];
    let peer_units_per_second = account.peer_units_per_second(context.now);
    let reserved = Units::refilled(peer_units_per_second, USAGE_DELAY_SECONDS)
        .min(account.excess_burst(plan))
        .max(Units::ZERO);
    plan.has_quota() && account.quota_tokens() - reserved < request.units()
}

/// Whether the limits of its customer allow the first attempt of a queued request now; if not, it
/// waits.
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

/// Whether one more attempt is likely to stay under the plan's limit on attempts in flight.
///
/// This gateway stays under its even part of the limit. Peers' attempts in flight are unknown;
/// their number is taken as a Poisson variable whose mean is the peers' usage in units a second
/// times the mean latency.
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
    let risk = (1.0 - below_limit_probability) * (1.0 + plan.over_quota_cost);
    f64::from(account.attempts_in_flight()) < even_part && risk < MAX_CONCURRENCY_RISK
}

/// When this gateway broadcasts its usage.
#[derive(Clone, Copy)]
pub(crate) struct UsageBroadcasts {
    /// Time between two broadcasts; `None` without peers, or where messages between gateways are
    /// not allowed.
    interval: Option<Duration>,
}

impl UsageBroadcasts {
    /// Broadcasts as often as the message intake of the peers allows.
    pub(super) fn new(settings: &Settings) -> Self {
        let intake_interval = broadcast_interval(settings);
        UsageBroadcasts {
            interval: intake_interval.map(|interval| interval.max(MIN_BROADCAST_INTERVAL)),
        }
    }

    /// Whether there are peers to which messages may be sent.
    pub(super) fn has_recipients(self) -> bool {
        self.interval.is_some()
    }

    /// When the broadcast after one that is sent now is due.
    pub(crate) fn next_after(self, now: Timestamp) -> Timestamp {
        now + self.interval.unwrap_or_default()
    }
}

/// Takes in what a peer has forwarded since its last message: it is drained from the accounts of
/// the customers that are known here.
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
