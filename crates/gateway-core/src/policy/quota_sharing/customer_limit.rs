//! The limit on customers whose state is kept: what is forgotten when it is reached.
//!
//! 1. An idle customer is forgotten after [`MIN_IDLE`], also below the limit ([`evict_idle`]).
//! 2. At the limit, customers are forgotten after [`MIN_IDLE_AT_LIMIT`] or the longest deadline, but only those for whom
//!    nothing is lost: their quota and hard limit are full, and none of their attempts is in flight.
//! 3. If no such customer is left, requests of unknown customers are rejected
//!    ([`has_room_for_account`]), and lease requests for them are not answered
//!    ([`has_room_for_owned`]). To forget other customers would give them their quota again.

use super::account::PARTITION_SILENCE;
use crate::settings::Plan;
use crate::state::quota::QuotaState;
use crate::time::Timestamp;
use crate::types::CustomerId;
use std::time::Duration;

/// Time without a request after which a customer may be forgotten.
pub(crate) const MIN_IDLE: Duration = Duration::from_secs(60);
/// Lower bound of the same time at the limit. It is longer than the time for which peers take a usage
/// count that starts again from zero for a late message.
const MIN_IDLE_AT_LIMIT: Duration = Duration::from_secs(3);
/// Interval between evictions at the limit, each of which looks at all customers.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);

/// Forgets the customers that have been idle for [`MIN_IDLE`].
pub(crate) fn evict_idle(quotas: &mut QuotaState, now: Timestamp, plans: &[Plan]) {
    quotas.evict_idle(now, MIN_IDLE, plans, &PARTITION_SILENCE);
}

/// Returns whether the customer of a request has an account or may get one.
pub(crate) fn has_room_for_account(
    quotas: &mut QuotaState,
    now: Timestamp,
    plans: &[Plan],
    customer: CustomerId,
) -> bool {
    let has_room = |quotas: &QuotaState| quotas.has_room_for_account(customer);
    has_room_after_eviction(quotas, now, plans, has_room)
}

/// Returns whether this gateway holds a part of the customer's quota or may add one.
pub(crate) fn has_room_for_owned(
    quotas: &mut QuotaState,
    now: Timestamp,
    plans: &[Plan],
    customer: CustomerId,
) -> bool {
    let has_room = |quotas: &QuotaState| quotas.has_room_for_owned(customer);
    has_room_after_eviction(quotas, now, plans, has_room)
}

/// Returns whether there is room, if necessary after an eviction.
fn has_room_after_eviction(
    quotas: &mut QuotaState,
    now: Timestamp,
    plans: &[Plan],
    has_room: impl Fn(&QuotaState) -> bool,
) -> bool {
    if !has_room(quotas) {
        evict_at_limit(quotas, now, plans);
    }
    has_room(quotas)
}

fn evict_at_limit(quotas: &mut QuotaState, now: Timestamp, plans: &[Plan]) {
    if now.duration_since(quotas.evicted_for_limit_at()) < EVICTION_INTERVAL {
        return;
    }
    quotas.record_eviction_for_limit(now);
    // None of the customer's requests may be waiting.
    let min_idle = MIN_IDLE_AT_LIMIT.max(quotas.customer_limit().longest_deadline);
    quotas.evict_idle(now, min_idle, plans, &PARTITION_SILENCE);
}
