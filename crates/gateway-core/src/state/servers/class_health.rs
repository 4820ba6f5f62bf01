//! The health of a server with one class of requests.

use crate::statistics::update_mean;
use crate::time::Timestamp;

/// Steps in a failure rate of 1, for sums over all servers: whole numbers accumulate no rounding
/// error.
pub(super) const FAILURE_RATE_SUM_STEPS: f64 = (1u64 << 32) as f64;

/// The health of a server with one class of requests.
#[derive(Clone, Default)]
pub(crate) struct ClassHealth {
    /// Exponentially weighted mean, from 0 to 1.
    pub(super) failure_rate: f64,
    answered_at: Timestamp,
    /// Set while the server is ejected: when the next probe may be sent.
    pub(super) next_probe_at: Option<Timestamp>,
    /// When the newest observation was made, here or by a peer.
    pub(super) observed_at: Timestamp,
    /// What the server index holds of this.
    pub(super) indexed: IndexedHealth,
}

impl ClassHealth {
    /// Exponentially weighted mean of the attempts that failed, from 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// When the server last answered a request of this class; the epoch if never.
    pub(crate) fn answered_at(&self) -> Timestamp {
        self.answered_at
    }

    /// When the newest observation was made, here or by a peer.
    pub(crate) fn observed_at(&self) -> Timestamp {
        self.observed_at
    }

    /// When the next probe may be sent; `None` while the server is not ejected.
    pub(crate) fn next_probe_at(&self) -> Option<Timestamp> {
        self.next_probe_at
    }

    /// Whether the server is ejected for this class.
    pub(crate) fn is_ejected(&self) -> bool {
        self.next_probe_at.is_some()
    }

    /// Ejects the server. If it is ejected already, its probe is not put off.
    pub(crate) fn eject(&mut self, next_probe_at: Timestamp) {
        self.next_probe_at = self.next_probe_at.or(Some(next_probe_at));
    }

    /// Ejects the server, or sets a new time for the probe of one that is ejected already.
    pub(crate) fn schedule_probe(&mut self, next_probe_at: Timestamp) {
        self.next_probe_at = Some(next_probe_at);
    }

    /// Ends an ejection.
    pub(crate) fn readmit(&mut self) {
        self.next_probe_at = None;
    }

    /// Records that a probe was sent, if the server is ejected.
    pub(super) fn record_probe(&mut self, next_probe_at: Timestamp) {
        if self.is_ejected() {
            self.next_probe_at = Some(next_probe_at);
        }
    }

    /// Records that a request of this class was answered.
    pub(super) fn record_answer(&mut self, now: Timestamp) {
        self.answered_at = now;
    }

    /// Records that the newest observation was made now.
    pub(crate) fn record_observation(&mut self, now: Timestamp) {
        self.observed_at = now;
    }

    /// Merges a sample of the failure rate.
    pub(super) fn observe_failure_rate(&mut self, sample: f64, weight: f64) {
        update_mean(&mut self.failure_rate, sample, weight);
    }

    /// Multiplies the failure rate by a factor of at most 1.
    pub(crate) fn scale_failure_rate(&mut self, factor: f64) {
        self.failure_rate *= factor;
    }

    /// Raises the failure rate to a minimum.
    pub(crate) fn raise_failure_rate(&mut self, minimum: f64) {
        self.failure_rate = self.failure_rate.max(minimum);
    }
}

/// What the server index holds of a server's health with one class.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct IndexedHealth {
    pub(super) next_probe_at: Option<Timestamp>,
    pub(super) failure_rate_steps: u64,
    pub(super) observed_at: Timestamp,
}

impl From<&ClassHealth> for IndexedHealth {
    fn from(health: &ClassHealth) -> Self {
        IndexedHealth {
            next_probe_at: health.next_probe_at,
            failure_rate_steps: (health.failure_rate * FAILURE_RATE_SUM_STEPS).round() as u64,
            observed_at: health.observed_at,
        }
    }
}
