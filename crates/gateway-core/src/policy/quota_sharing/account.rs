//! Rules for a customer's account at this gateway that apply to both small and large fleets.
//!
//! 1. [`account_on_arrival`] finds or creates, reconfigures and refills the account of a request's
//!    customer.
//! 2. [`new_account`]: the tokens that the account of a new customer holds.
//! 3. [`follow_hints`]: when an account adopts another plan or gateway set that requests name.
//! 4. [`PARTITION_SILENCE`]: when a silent gateway counts as partitioned, so that its even part is
//!    not refilled here.
//! 5. [`observe_incarnation`]: the tokens that accounts lose once this gateway detects that it has
//!    restarted.

use crate::settings::Settings;
use crate::state::deployment::Context;
use crate::state::quota::{AccountConfig, CustomerAccount, QuotaState};
use crate::state::request::Request;
use crate::time::Timestamp;
use crate::types::GatewaySet;
use crate::units::Units;
use std::ops::Range;
use std::time::Duration;

/// Range of the time since the last message of a gateway in which the gateway counts as
/// partitioned; after this range it counts as down.
///
/// In a partition, both sides together would otherwise grant more than the whole rate, so each side
/// leaves out the even parts of the silent gateways. A gateway that is down does not use its part.
pub(crate) const PARTITION_SILENCE: Range<Duration> =
    Duration::from_millis(800)..Duration::from_secs(25);
/// Minimum difference between a peer's uptime and this gateway's that shows a restart of this
/// gateway; also the longest uptime of this gateway at which a restart matters.
const RESTART_WINDOW: Duration = Duration::from_secs(4);
/// Number of consecutive requests naming another plan or gateway set after which the account adopts
/// the plan and gateway set of the last one. A single request must not change the account, by
/// mistake or malice.
const CONFLICTING_HINTS_UNTIL_CHANGE: u32 = 3;

/// Returns the account of a request's customer, refilled up to now. `gateways` is the gateway set
/// that the request names.
pub(crate) fn account_on_arrival<'a>(
    quotas: &'a mut QuotaState,
    context: Context<'_>,
    request: &Request,
    gateways: GatewaySet,
) -> &'a mut CustomerAccount {
    let now = context.now;
    let settings = &context.deployment.settings;
    let config = AccountConfig {
        plan_id: request.plan(),
        plan: context.deployment.plan_of(request),
        gateways: GatewaySet {
            count: gateways.count.clamp(1, settings.gateway_count),
            ..gateways
        },
        max_request_units: settings.max_request_units,
    };
    let uptime = quotas.uptime(now);
    let has_restarted = quotas.has_restarted();
    let entry = quotas.account_entry_or_insert(request.customer(), || {
        new_account(now, uptime, has_restarted, config)
    });
    follow_hints(settings, entry.account, now, config);
    entry.into_refilled(now, &settings.plans, &PARTITION_SILENCE)
}

/// Creates the account of a customer that has none. Shortly after a restart it holds only the even
/// part of the burst, because the rest may have been used before the restart.
///
/// `uptime` is the time since this gateway started; `has_restarted` tells whether peers have been
/// up for much longer.
fn new_account(
    now: Timestamp,
    uptime: Duration,
    has_restarted: bool,
    config: AccountConfig<'_>,
) -> CustomerAccount {
    let mut account = CustomerAccount::new(now, uptime, config);
    if has_restarted && uptime < RESTART_WINDOW {
        account.limit_to_even_burst();
    }
    account
}

/// Reconfigures an account once enough consecutive requests have named another plan or gateway set.
///
/// A customer gains no units by the change: a debt under the hard limit is kept, and unused units
/// under the hard limit are lost.
fn follow_hints(
    settings: &Settings,
    account: &mut CustomerAccount,
    now: Timestamp,
    config: AccountConfig<'_>,
) {
    let conflicting_hints = account.record_hint(config.plan_id, config.gateways);
    if conflicting_hints < CONFLICTING_HINTS_UNTIL_CHANGE {
        return;
    }
    let had_hard_limit = settings.plans[account.plan().0].hard_limit.is_some();
    let hard_limit_debt = if had_hard_limit {
        account.hard_limit_tokens().min(Units::ZERO)
    } else {
        Units::ZERO
    };
    let fresh = CustomerAccount::new(now, Duration::ZERO, config);
    account.reconfigure(fresh, hard_limit_debt);
}

/// Processes the incarnation of a peer, in ms. If the peer has been up for much longer than this
/// gateway, this gateway has restarted, and its new accounts hold units that may have been used
/// before the restart: each account loses all but the even part of its burst, once.
pub(super) fn observe_incarnation(
    quotas: &mut QuotaState,
    settings: &Settings,
    now: Timestamp,
    incarnation: u32,
) {
    if !shows_restart(quotas, now, incarnation) {
        return;
    }
    quotas.set_restarted();
    for account in quotas.accounts_mut() {
        account.drain_excess_burst(&settings.plans[account.plan().0]);
    }
}

/// Returns whether a peer's incarnation shows for the first time that this gateway has restarted.
fn shows_restart(quotas: &QuotaState, now: Timestamp, incarnation: u32) -> bool {
    let uptime = quotas.uptime(now);
    let peer_uptime =
        Duration::from_millis(u64::from(now.as_incarnation().wrapping_sub(incarnation)));
    let is_longer = peer_uptime >= uptime + RESTART_WINDOW;
    !quotas.has_restarted() && uptime <= RESTART_WINDOW && is_longer
}
