//! The ids of recent requests that may have been executed and must not be executed again.
//!
//! The protocol has clients use a fresh id for every request, their retries included, and servers
//! tell repetitions apart by idempotency keys only. A client that breaks the rule, or that uses the
//! id of another client's request, must not have that request executed twice.

use gateway_core::RequestId;
use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an id is kept.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of ids that are kept; the oldest are dropped first.
const MAX_IDS: usize = 8192;

/// Keeps the hashes of the ids, which take less memory than the ids and are of one size. Two ids with
/// one hash are as improbable as 64 bits make them.
#[derive(Default)]
pub(super) struct ExecutedRequests {
    hasher: RandomState,
    recent: RefCell<RecentHashes>,
}

#[derive(Default)]
struct RecentHashes {
    hashes: HashSet<u64>,
    /// The same hashes in the order in which they were added.
    by_age: VecDeque<(Instant, u64)>,
}

impl ExecutedRequests {
    /// Adds the id of a request that may have been executed.
    pub(super) fn insert(&self, id: &RequestId, now: Instant) {
        let hash = self.hasher.hash_one(id);
        let mut recent = self.recent.borrow_mut();
        recent.drop_expired(now);
        if recent.hashes.insert(hash) {
            recent.by_age.push_back((now, hash));
        }
    }

    /// Returns whether a request with this id may have been executed within [`RETENTION`].
    pub(super) fn contains(&self, id: &RequestId, now: Instant) -> bool {
        let mut recent = self.recent.borrow_mut();
        recent.drop_expired(now);
        recent.hashes.contains(&self.hasher.hash_one(id))
    }
}

impl RecentHashes {
    /// Drops what has expired, and the oldest if there is no room for another one.
    fn drop_expired(&mut self, now: Instant) {
        while let Some((added_at, hash)) = self.by_age.front() {
            let is_expired = now.saturating_duration_since(*added_at) >= RETENTION;
            if !is_expired && self.by_age.len() < MAX_IDS {
                return;
            }
            self.hashes.remove(hash);
            self.by_age.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/executed_requests.rs"]
mod tests;
