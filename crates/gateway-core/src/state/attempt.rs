//! Attempts in flight.

use crate::time::Timestamp;
use crate::types::{AttemptNumber, ClassId, CustomerId, RequestId, ServerId};
use std::collections::BTreeMap;

/// Names an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNumber,
}

/// An attempt in flight.
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) customer: CustomerId,
    pub(crate) class: ClassId,
    /// Since when only the servers delayed its request.
    pub(crate) due_since: Timestamp,
    pub(crate) sent_at: Timestamp,
    /// Attempts in flight at the server when it was sent, with this one.
    pub(crate) server_in_flight: f64,
}

/// All attempts in flight.
#[derive(Default)]
pub(crate) struct AttemptTable(BTreeMap<AttemptKey, Attempt>);

impl AttemptTable {
    pub(crate) fn insert(&mut self, key: AttemptKey, attempt: Attempt) {
        self.0.insert(key, attempt);
    }

    pub(crate) fn remove(&mut self, key: &AttemptKey) -> Option<Attempt> {
        self.0.remove(key)
    }

    /// All of them, by request.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.0.iter()
    }

    /// How many there are.
    pub(crate) fn count(&self) -> f64 {
        self.0.len() as f64
    }

    /// How many there are of a class.
    pub(crate) fn count_of(&self, class: ClassId) -> f64 {
        self.0
            .values()
            .filter(|attempt| attempt.class == class)
            .count() as f64
    }
}
