//! The load that a server reports with its answers.

use gateway_core::Timestamp;
use std::time::Duration;

/// The last measurement of a server's load, which is reported until the next one.
pub(super) struct LoadReport {
    interval: Duration,
    expires_at: Timestamp,
    load: f64,
}

impl LoadReport {
    /// The report of a server that measures its load anew after each interval.
    pub(super) fn new(interval: Duration) -> LoadReport {
        LoadReport {
            interval,
            expires_at: Timestamp::EPOCH,
            load: 0.0,
        }
    }

    /// The server starts again: the next answer needs a new measurement.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.expires_at = now;
        self.load = 0.0;
    }

    /// The load to report now. It is measured anew, as the number of requests in flight, if the last
    /// measurement has expired.
    pub(super) fn current(&mut self, now: Timestamp, in_flight_requests: usize) -> f64 {
        if now >= self.expires_at {
            self.expires_at = now + self.interval;
            self.load = in_flight_requests as f64;
        }
        self.load
    }
}
