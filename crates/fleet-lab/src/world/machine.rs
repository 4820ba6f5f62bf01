//! The hardware of simulated servers.

use crate::time::MICROS_PER_SECOND;
use gateway_core::DurationExt;
use std::ops::Range;
use std::time::Duration;

/// Hardware of each server, the same for all servers of a simulation.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Number of requests that run concurrently.
    pub cores: u32,
    /// Maximum number of requests in flight, running or queued; further requests are rejected
    /// without running.
    pub slots: usize,
    /// Execution time of a request on a warm core, uniformly distributed.
    pub work: Range<Duration>,
    /// Interval at which a server measures the load that it reports; each server draws its own.
    pub report_interval: Range<Duration>,
}

impl Machine {
    /// Returns the mean work of a request, in µs.
    pub fn mean_work_us(&self) -> f64 {
        (self.work.start + self.work.end).as_micros_f64() / 2.0
    }

    /// Returns the requests of mean work per second that a warm server completes.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * MICROS_PER_SECOND / self.mean_work_us()
    }
}
