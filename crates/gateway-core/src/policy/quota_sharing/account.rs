//! Rules for a customer's account at this gateway that are common to small and large fleets.
//!
//! 1. [`new_bucket`]: how full the bucket of a customer is that is seen for the first time.
//! 2. [`follow_hints`]: when a bucket takes over another plan or gateway set that requests name.
//! 3. [`PARTITIONED`]: when a silent gateway counts as partitioned.
//! 4. [`observe_incarnation`]: what the buckets lose once this gateway notices that it has restarted.

use crate::settings::Settings;
use crate::state::quota_state::QuotaState;
use crate::state::token_bucket::{BucketConfig, TokenBucket};
use crate::time::Timestamp;
use crate::units::Units;
use std::ops::Range;
use std::time::Duration;

/// Time of silence during which a gateway counts as partitioned; after that it counts as dead.
///
/// In a partition each side would grant the whole rate, so each reserves the even part of the silent gateways.
/// While a gateway is down, its part is not used.
pub(crate) const PARTITIONED: Range<Duration> = Duration::from_millis(800)..Duration::from_secs(25);
/// Difference in uptime to a peer from which on this gateway has restarted, and the uptime up to which that
/// matters.
const RESTART_WINDOW: Duration = Duration::from_secs(4);
/// Consecutive requests that name another plan or gateway set until the bucket follows. One alone, by mistake
/// or malice, must not change it.
const MAX_CONFLICTING_HINTS: u32 = 3;

/// A bucket for a customer without one. Shortly after a restart it holds only the even part of the burst, as
/// the rest may have been used before.
///
/// `uptime`: how long this gateway has been up; `has_restarted`: whether peers have been up for much longer.
pub(crate) fn new_bucket(
    now: Timestamp,
    uptime: Duration,
    has_restarted: bool,
    config: BucketConfig<'_>,
) -> TokenBucket {
    let mut bucket = TokenBucket::new(now, uptime, config);
    if has_restarted && uptime < RESTART_WINDOW {
        bucket.tokens = bucket.capacity;
    }
    bucket
}

/// Reconfigures a bucket once enough consecutive requests have named another plan or gateway set.
///
/// Nothing is gained by a change: a debt under the hard limit stays, and a surplus is lost.
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
            bucket.hard_limit_tokens.min(Units::ZERO)
        } else {
            Units::ZERO
        };
        bucket.reconfigure(
            TokenBucket::new(now, Duration::ZERO, config),
            hard_limit_tokens,
        );
    }
}

/// Takes in the incarnation of a peer, in ms. If the peer has been up for much longer than this gateway, this
/// gateway has restarted, and its new buckets hold what may have been used before: each loses all but the even
/// part of its burst, once.
pub(crate) fn observe_incarnation(
    quotas: &mut QuotaState,
    settings: &Settings,
    now: Timestamp,
    incarnation: u32,
) {
    if !shows_restart(quotas, now, incarnation) {
        return;
    }
    quotas.restarted_recently = true;
    for bucket in quotas.local.values_mut() {
        let excess = (settings.plans[bucket.plan.0].burst - bucket.capacity).max(Units::ZERO);
        bucket.tokens = (bucket.tokens - excess).max(-bucket.capacity);
    }
}

/// Whether a peer's incarnation shows for the first time that this gateway has restarted.
fn shows_restart(quotas: &QuotaState, now: Timestamp, incarnation: u32) -> bool {
    let uptime = quotas.uptime(now);
    let peer_uptime =
        Duration::from_millis(u64::from(now.as_incarnation().wrapping_sub(incarnation)));
    let is_longer = peer_uptime >= uptime + RESTART_WINDOW;
    !quotas.restarted_recently && uptime <= RESTART_WINDOW && is_longer
}
