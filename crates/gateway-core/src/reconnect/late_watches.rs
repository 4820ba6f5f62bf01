//! Late watches: watches that have missed their deadline and stay open while further watches are
//! opened, because discovery may still answer them. This module decides which of them to keep.
//!
//! Watches are opened at a pace that suits a discovery that answers immediately. If it answers
//! later than that, only a watch that is kept until then is ever answered; if it has dropped
//! the earlier watches, only a new one is. The times at which the kept watches were opened are
//! therefore spread over the past, with gaps in proportion to their age: whatever the latency of
//! discovery is, some watch has waited for about that long.

use std::time::Duration;

/// Longest time for which a watch is kept without an answer.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Age of a late watch divided by the smallest difference between its age and that of the next
/// older one.
const AGES_PER_GAP: u32 = 3;
/// Maximum number of late watches, each of which holds a connection.
pub const MAX_LATE_WATCHES: usize = 12;

/// Returns the index of a late watch that must be given up now, or `None` if all can be kept.
///
/// `opened_at` has the times at which the late watches were opened, the earliest first.
#[must_use]
pub fn surplus(opened_at: &[Duration], now: Duration) -> Option<usize> {
    let age = |index: usize| now.saturating_sub(opened_at[index]);
    let oldest_is_expired = !opened_at.is_empty() && age(0) > MAX_WAIT;
    if oldest_is_expired {
        return Some(0);
    }
    let is_too_close = |index: &usize| {
        let gap = age(index - 1).saturating_sub(age(*index));
        gap < age(*index) / AGES_PER_GAP
    };
    let too_close = (1..opened_at.len()).find(is_too_close);
    let has_too_many = opened_at.len() > MAX_LATE_WATCHES;
    too_close.or_else(|| has_too_many.then(|| opened_at.len() - 1))
}
