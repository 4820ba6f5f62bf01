//! The health of a server with one class of requests.

use crate::statistics::update_mean;
use crate::time::Timestamp;

/// Fixed-point representation of a failure rate of 1. Failure rates are summed over all servers as
/// fixed-point values, because integer sums accumulate no rounding error.
pub(super) const FAILURE_RATE_SCALE: f64 = (1u64 << 32) as f64;

/// A server's failure rate, ejection and newest observation for one class of requests.
#[derive(Clone, Default)]
pub(crate) struct ClassHealth {
    /// Exponentially weighted mean of failures (1) and successes (0).
    pub(super) failure_rate: f64,
    /// When the server last answered a request of the class; the epoch if never.
    answered_at: Timestamp,
    /// When the next probe may be sent; `None` while the server is not ejected.
    pub(super) next_probe_at: Option<Timestamp>,
    /// When the newest observation was made, by this gateway or a peer; the epoch if never.
    pub(super) observed_at: Timestamp,
    /// The part of this health that the server index currently holds.
    pub(super) indexed: IndexedHealth,
}

impl ClassHealth {
    /// Returns the exponentially weighted fraction of attempts that failed, from 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns when the server last answered a request of the class; the epoch if never.
    pub(crate) fn answered_at(&self) -> Timestamp {
        self.answered_at
    }

    /// Returns when the newest observation was made, by this gateway or a peer; the epoch if never.
    pub(crate) fn observed_at(&self) -> Timestamp {
        self.observed_at
    }

    /// Returns when the next probe may be sent; `None` while the server is not ejected.
    pub(crate) fn next_probe_at(&self) -> Option<Timestamp> {
        self.next_probe_at
    }

    /// Returns whether the server is ejected for the class.
    pub(crate) fn is_ejected(&self) -> bool {
        self.next_probe_at.is_some()
    }

    /// Ejects the server, which may be probed from `next_probe_at` on. The next probe of a server
    /// that is already ejected is not postponed.
    pub(crate) fn eject(&mut self, next_probe_at: Timestamp) {
        self.next_probe_at = self.next_probe_at.or(Some(next_probe_at));
    }

    /// Sets the time from which the next probe may be sent, and ejects the server unless it is
    /// ejected already.
    pub(crate) fn schedule_probe(&mut self, next_probe_at: Timestamp) {
        self.next_probe_at = Some(next_probe_at);
    }

    /// Readmits the server, ending its ejection.
    pub(crate) fn readmit(&mut self) {
        self.next_probe_at = None;
    }

    /// Records that an attempt was sent. If the server is ejected, the attempt is a probe, and the
    /// next probe may be sent from `next_probe_at` on.
    pub(super) fn record_attempt_sent(&mut self, next_probe_at: Timestamp) {
        if self.is_ejected() {
            self.next_probe_at = Some(next_probe_at);
        }
    }

    /// Records that the server answered a request of the class.
    pub(super) fn record_answer(&mut self, now: Timestamp) {
        self.answered_at = now;
    }

    /// Records that the newest observation was made at `observed_at`.
    pub(crate) fn record_observation(&mut self, observed_at: Timestamp) {
        self.observed_at = observed_at;
    }

    /// Merges a sample into the failure rate, by `weight`.
    pub(super) fn observe_failure_rate(&mut self, sample: f64, weight: f64) {
        update_mean(&mut self.failure_rate, sample, weight);
    }

    /// Multiplies the failure rate by a factor of at most 1.
    pub(crate) fn scale_failure_rate(&mut self, factor: f64) {
        self.failure_rate *= factor;
    }

    /// Raises the failure rate to `minimum` if it is lower.
    pub(crate) fn raise_failure_rate(&mut self, minimum: f64) {
        self.failure_rate = self.failure_rate.max(minimum);
    }
}

/// The part of a server's health with one class that the server index holds.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct IndexedHealth {
    pub(super) next_probe_at: Option<Timestamp>,
    /// The failure rate as a fixed-point value.
    pub(super) scaled_failure_rate: u64,
    pub(super) observed_at: Timestamp,
}

impl From<&ClassHealth> for IndexedHealth {
    fn from(health: &ClassHealth) -> Self {
        IndexedHealth {
            next_probe_at: health.next_probe_at,
            scaled_failure_rate: (health.failure_rate * FAILURE_RATE_SCALE).round() as u64,
            observed_at: health.observed_at,
        }
    }
}
