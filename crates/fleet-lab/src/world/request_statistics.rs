//! Statistics of the requests of a simulation.

use super::answer_times::{AnswerTimes, TimeHistogram};
use super::final_answer::FinalAnswer;
use super::request_counts::{RequestCounts, SecondCounts};
use super::START;
use gateway_core::{ClassId, PlanId, Settings, Timestamp};
use std::time::Duration;

/// Counts of all requests, and histograms of their waits and of the times to their answers.
pub struct RequestStatistics {
    /// Counts of requests, by class and then by plan.
    pub counts: Vec<Vec<RequestCounts>>,
    /// Counts of each second, indexed by whole seconds since the start of the simulation.
    pub seconds: Vec<SecondCounts>,
    /// Number of attempts sent, the first ones and the further ones, by class.
    pub attempts: Vec<u64>,
    /// Times from arrival to final answer, by class.
    pub answer_times: Vec<AnswerTimes>,
    /// Number of attempts sent to another zone.
    pub cross_zone_attempts: u64,
    /// Waits from arrival to first attempt.
    waits: TimeHistogram,
}

impl RequestStatistics {
    /// Creates empty statistics for the classes and plans of the settings.
    ///
    /// # Errors
    /// An error if a histogram cannot be created.
    pub(super) fn new(settings: &Settings) -> anyhow::Result<RequestStatistics> {
        let by_plan = vec![RequestCounts::default(); settings.plans.len()];
        let classes = settings.classes.len();
        Ok(RequestStatistics {
            counts: vec![by_plan; classes],
            seconds: Vec::new(),
            attempts: vec![0; classes],
            answer_times: vec![AnswerTimes::new()?; classes],
            cross_zone_attempts: 0,
            waits: TimeHistogram::new()?,
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
        self.waits.record(wait);
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
        self.waits.quantile_ms(quantile)
    }

    /// Counts an attempt of a request of this class.
    pub(super) fn attempt_sent(&mut self, class: ClassId) {
        self.attempts[class.0] += 1;
    }

    /// Records the time from the arrival of a request of this class to its final answer.
    pub(super) fn answered(&mut self, class: ClassId, answer: FinalAnswer, time: Duration) {
        let times = &mut self.answer_times[class.0];
        match answer {
            FinalAnswer::Served => times.served.record(time),
            FinalAnswer::Rejected | FinalAnswer::Failed => times.unserved.record(time),
        }
    }

    fn second(&mut self, now: Timestamp) -> &mut SecondCounts {
        let index = now.duration_since(START).as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondCounts::default());
        }
        &mut self.seconds[index]
    }
}
