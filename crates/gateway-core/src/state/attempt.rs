//! Attempts in flight.

use crate::time::Timestamp;
use crate::types::{AttemptNumber, ClassId, CustomerId, RequestId, ServerId};
use std::collections::BTreeMap;

/// Identifies an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    /// Its request.
    pub(crate) request: RequestId,
    /// Its number within the request.
    pub(crate) number: AttemptNumber,
}

/// An attempt in flight.
pub(crate) struct Attempt {
    /// The server it was sent to.
    pub(crate) server: ServerId,
    /// The customer of its request.
    pub(crate) customer: CustomerId,
    /// The class of its request.
    pub(crate) class: ClassId,
    /// Since when its request could have been sent if a server had been available.
    pub(crate) eligible_since: Timestamp,
    /// When it was sent.
    pub(crate) sent_at: Timestamp,
    /// Attempts in flight at the server when it was sent, including this one.
    pub(crate) server_in_flight: f64,
}

/// All attempts in flight.
#[derive(Default)]
pub(crate) struct AttemptTable(BTreeMap<AttemptKey, Attempt>);

impl AttemptTable {
    /// Adds an attempt that has just been sent.
    pub(crate) fn insert(&mut self, key: AttemptKey, attempt: Attempt) {
        self.0.insert(key, attempt);
    }

    /// Removes an attempt that has ended.
    pub(crate) fn remove(&mut self, key: &AttemptKey) -> Option<Attempt> {
        self.0.remove(key)
    }

    /// All attempts, in the order of their requests' ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.0.iter()
    }

    /// How many attempts are in flight.
    pub(crate) fn count(&self) -> f64 {
        self.0.len() as f64
    }

    /// How many attempts of a class are in flight.
    pub(crate) fn count_of(&self, class: ClassId) -> f64 {
        self.0
            .values()
            .filter(|attempt| attempt.class == class)
            .count() as f64
    }
}
