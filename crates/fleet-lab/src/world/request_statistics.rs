//! Statistics of the requests of a simulation.

use super::request_counts::{RequestCounts, SecondCounts};
use super::START;
use gateway_core::DurationExt;
use gateway_core::{ClassId, PlanId, Settings, Timestamp};
use hdrhistogram::Histogram;
use std::time::Duration;

/// Longest wait that the histogram holds, in µs.
const MAX_WAIT_US: u64 = 3_600_000_000;
/// Significant decimal digits of waits in the histogram.
const WAIT_DIGITS: u8 = 3;

/// Counts of all requests, and a histogram of their waits.
pub struct RequestStatistics {
    /// Counts of requests, by class and then by plan.
    pub counts: Vec<Vec<RequestCounts>>,
    /// Counts of each second, indexed by whole seconds since the start of the simulation.
    pub seconds: Vec<SecondCounts>,
    /// Number of attempts sent, the first ones and the further ones of all requests.
    pub attempts: u64,
    /// Number of attempts sent to another zone.
    pub cross_zone_attempts: u64,
    /// Waits from arrival to first attempt, in µs.
    waits: Histogram<u64>,
}

impl RequestStatistics {
    /// Creates empty statistics for the classes and plans of the settings.
    ///
    /// # Errors
    /// An error if the histogram of waits cannot be created.
    pub(super) fn new(settings: &Settings) -> anyhow::Result<RequestStatistics> {
        let by_plan = vec![RequestCounts::default(); settings.plans.len()];
        Ok(RequestStatistics {
            counts: vec![by_plan; settings.classes.len()],
            seconds: Vec::new(),
            attempts: 0,
            cross_zone_attempts: 0,
            waits: Histogram::new_with_bounds(1, MAX_WAIT_US, WAIT_DIGITS)?,
        })
    }

    /// Applies `count` to the counts of a class and plan and to those of the current second.
    pub(super) fn count(
        &mut self,
        now: Timestamp,
        class: ClassId,
        plan: PlanId,
        count: impl Fn(&mut RequestCounts),
    ) {
        count(&mut self.counts[class.0][plan.0]);
        count(&mut self.second(now).requests);
    }

    /// Counts the units of a request whose first attempt is sent, and the wait before it.
    pub(super) fn first_attempt_sent(
        &mut self,
        now: Timestamp,
        wait: Duration,
        units: f64,
        is_within_quota: bool,
    ) {
        // Deadlines bound the waits far below the histogram's limit, so nothing saturates.
        self.waits.saturating_record(wait.whole_micros().max(1));
        let second = self.second(now);
        second.sent_units += units;
        if !is_within_quota {
            second.over_quota_units += units;
        }
    }

    /// Returns the units of all requests of which an attempt was sent.
    pub fn sent_units(&self) -> f64 {
        self.seconds.iter().map(|second| second.sent_units).sum()
    }

    /// Returns the part of [`RequestStatistics::sent_units`] that is beyond quotas.
    pub fn over_quota_units(&self) -> f64 {
        self.seconds
            .iter()
            .map(|second| second.over_quota_units)
            .sum()
    }

    /// Returns a quantile of the waits from arrival to first attempt, in ms.
    pub fn wait_ms(&self, quantile: f64) -> f64 {
        self.waits.value_at_quantile(quantile) as f64 / 1e3
    }

    fn second(&mut self, now: Timestamp) -> &mut SecondCounts {
        let index = now.duration_since(START).as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondCounts::default());
        }
        &mut self.seconds[index]
    }
}
