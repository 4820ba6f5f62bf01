//! The load that a server reports with its answers.

use gateway_core::Timestamp;
use std::time::Duration;

/// The last measurement of a server's load, which the server reports until the measurement expires.
pub(super) struct LoadReport {
    interval: Duration,
    expires_at: Timestamp,
    load: f64,
}

impl LoadReport {
    /// Creates the report of a server that measures its load once per interval.
    pub(super) fn new(interval: Duration) -> LoadReport {
        LoadReport {
            interval,
            expires_at: Timestamp::EPOCH,
            load: 0.0,
        }
    }

    /// Discards the measurement at a restart, so that the next answer triggers a new one.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.expires_at = now;
        self.load = 0.0;
    }

    /// Returns the load to report. If the last measurement has expired, the load is measured again
    /// as the number of attempts that run or are queued.
    pub(super) fn current(&mut self, now: Timestamp, attempts_in_flight: usize) -> f64 {
        if now >= self.expires_at {
            self.expires_at = now + self.interval;
            self.load = attempts_in_flight as f64;
        }
        self.load
    }
}
