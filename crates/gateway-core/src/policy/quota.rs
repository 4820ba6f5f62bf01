//! Quotas by this gateway's own token buckets: the design's companion of the controller. Each bucket is
//! refilled at the plan's rate and drained by the gateway's own use and by what peers are heard to use.

use crate::settings::Settings;
use crate::state::deployment::{Context, FleetMode};
use crate::state::quota_state::{silent_gateways, QuotaState};
use crate::state::request::Request;
use crate::state::token_bucket::{BucketConfig, TokenBucket};
use crate::statistics::poisson_below;
use crate::time::Timestamp;
use std::ops::Range;
use std::time::Duration;

/// µs of silence for which a gateway counts as partitioned, before it counts as dead. In a partition each
/// side would grant the whole rate, so each keeps back the even shares of the silent ones; the price is paid
/// while one is down.
pub(crate) const PARTITIONED: Range<Duration> = Duration::from_millis(800)..Duration::from_secs(25);
/// µs by which peers have been up longer, and for which that matters, where this gateway restarted.
const RESTART_WINDOW: Duration = Duration::from_secs(4);
/// Requests on end that name another plan or gateway set until a bucket follows: one alone, by mistake or
/// malice, must not.
const MAX_CONFLICTING_HINTS: u32 = 3;
/// Loss, as a share of its priority weight, that a first attempt may risk at a limit on attempts in flight.
const MAX_CONCURRENCY_RISK: f64 = 0.2;

/// A new bucket of a customer.
pub(crate) fn new_bucket(
    now: Timestamp,
    uptime: Duration,
    restarted_recently: bool,
    config: BucketConfig<'_>,
) -> TokenBucket {
    let mut bucket = TokenBucket::new(now, uptime, config);
    if restarted_recently && uptime < RESTART_WINDOW {
        bucket.tokens = bucket.capacity;
    }
    bucket
}

/// Reconfigures a bucket once enough requests on end have named another plan or gateway set.
pub(crate) fn follow_hints(
    settings: &Settings,
    bucket: &mut TokenBucket,
    now: Timestamp,
    config: BucketConfig<'_>,
) {
    if bucket.matches(config.plan_id, config.gateways) {
        bucket.conflicting_hints = 0;
        return;
    }
    bucket.conflicting_hints += 1;
    if bucket.conflicting_hints >= MAX_CONFLICTING_HINTS {
        let had_limit = settings.plans[bucket.plan.0].hard_limit.is_some();
        let hard_limit_tokens = if had_limit {
            bucket.hard_limit_tokens.min(0.0)
        } else {
            0.0
        };
        bucket.reconfigure(
            TokenBucket::new(now, Duration::ZERO, config),
            hard_limit_tokens,
        );
    }
}

/// A peer has been heard. Where peers have been up for much longer, this gateway has restarted, and others
/// have used what its fresh buckets hold: only the even part of each burst is taken for granted.
pub(crate) fn observe_incarnation(
    quotas: &mut QuotaState,
    settings: &Settings,
    now: Timestamp,
    incarnation: u32,
) {
    let uptime = quotas.uptime(now);
    let peer_uptime =
        Duration::from_millis(u64::from(now.as_incarnation().wrapping_sub(incarnation)));
    if quotas.restarted_recently || uptime > RESTART_WINDOW || peer_uptime < uptime + RESTART_WINDOW
    {
        return;
    }
    quotas.restarted_recently = true;
    for bucket in quotas.local.values_mut() {
        let beyond = (settings.plans[bucket.plan.0].burst - bucket.capacity).max(0.0);
        bucket.tokens = (bucket.tokens - beyond).max(-bucket.capacity);
    }
}

/// Whether the customer's limits allow a first attempt now; if not, it waits. In a large fleet an owner has
/// allowed it.
pub(crate) fn allows_attempt(
    quotas: &mut QuotaState,
    context: Context<'_>,
    request: &Request,
) -> bool {
    if context.deployment.mode == FleetMode::Leases {
        return true;
    }
    let Some(bucket) = quotas.local.get_mut(&request.customer()) else {
        return true;
    };
    let plan = &context.deployment.settings.plans[bucket.plan.0];
    let silent = silent_gateways(
        &quotas.last_heard,
        bucket.gateways(),
        context.now,
        PARTITIONED,
    );
    bucket.refill(context.now, plan, silent);
    if plan.hard_limit.is_some() && bucket.hard_limit_tokens < request.units() {
        return false;
    }
    let Some(limit) = plan.max_concurrent else {
        return true;
    };
    // Peers' attempts are not heard of in time: their rate and the latency make so many likely.
    let even_share = (f64::from(limit) / bucket.gateway_count).round().max(1.0);
    let likely = bucket.peer_rate(context.now) * context.fleet.mean_latency_us() / 1e6;
    let below_limit = poisson_below(limit.saturating_sub(bucket.in_flight), likely);
    let risk = (1.0 - below_limit) * (1.0 + plan.over_quota_cost);
    f64::from(bucket.in_flight) < even_share && risk < MAX_CONCURRENCY_RISK
}
