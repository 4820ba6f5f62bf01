//! Attempts in flight.

use crate::time::Timestamp;
use crate::types::{AttemptNumber, ClassId, CustomerId, RequestId, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The request and number that identify an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    /// The attempt's number within the request, from 0.
    pub(crate) number: AttemptNumber,
}

/// Record of an attempt in flight, made when the attempt is sent.
pub(crate) struct Attempt {
    /// The server that the attempt was sent to.
    pub(crate) server: ServerId,
    pub(crate) customer: CustomerId,
    pub(crate) class: ClassId,
    /// The time from which the request could have been sent, had a server been available.
    pub(crate) eligible_since: Timestamp,
    /// When the attempt was sent.
    pub(crate) sent_at: Timestamp,
    /// How long the client of the request waits, from the arrival of the request on.
    pub(crate) client_timeout: Duration,
    /// Attempts of this gateway in flight at the server after this attempt was sent, including it.
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

    /// Removes an attempt that has ended; returns `None` if it was not in the table.
    pub(crate) fn remove(&mut self, key: &AttemptKey) -> Option<Attempt> {
        self.0.remove(key)
    }

    /// Iterates over all attempts, ordered by request id and then by number.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.0.iter()
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn count(&self) -> f64 {
        self.0.len() as f64
    }

    /// Returns the number of attempts of a class in flight.
    pub(crate) fn count_of(&self, class: ClassId) -> f64 {
        self.0
            .values()
            .filter(|attempt| attempt.class == class)
            .count() as f64
    }
}
