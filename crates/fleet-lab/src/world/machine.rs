//! The kind of machine that servers are.

use crate::time::MICROS_PER_SECOND;
use gateway_core::DurationExt;
use std::ops::Range;
use std::time::Duration;

/// What kind of machine the servers are.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Requests that run concurrently.
    pub cores: u32,
    /// Maximum number of requests in flight, running or queued; further ones are rejected without running.
    pub slots: usize,
    /// Work of a request on a warm core, uniformly distributed.
    pub work: Range<Duration>,
    /// Interval at which a server measures the load that it reports; each server draws its own.
    pub report_interval: Range<Duration>,
}

impl Machine {
    /// Mean work of a request, µs.
    pub fn mean_work_us(&self) -> f64 {
        (self.work.start + self.work.end).as_micros_f64() / 2.0
    }

    /// Requests of mean work that a warm server completes in a second.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * MICROS_PER_SECOND / self.mean_work_us()
    }
}
