//! A gateway's estimates of the whole fleet, from its own observations and from gossip.

use crate::statistics::update_mean;
use crate::time::DurationExt;
use crate::types::{ClassId, ZoneId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Placeholder for an unknown mean latency ratio. The first sample is merged into it with a weight
/// of 1, which yields the sample itself, rounded in the same way as later means.
const PLACEHOLDER_RATIO: f64 = -1.0;

/// Estimates of latency, load, reachability and throughput over the fleet, and the mean number of
/// attempts that this gateway has in flight.
#[derive(Default)]
pub(crate) struct FleetEstimates {
    mean_latency_us: f64,
    median_latency_us: f64,
    service_time_us: f64,
    load_factor: Option<f64>,
    lowest_class_in_flight: f64,
    total_in_flight: f64,
    /// Mean latency ratio of each class, indexed by class; `None` while unknown.
    latency_ratios: Vec<Option<f64>>,
    /// Mean number of answers per second at one gateway.
    throughput: f64,
    /// Number of answers at this gateway since the last control tick.
    answers_since_tick: f64,
    /// Fraction of the attempts into each zone that could not connect.
    unreachable_by_zone: BTreeMap<ZoneId, f64>,
}

impl FleetEstimates {
    /// Creates estimates without observations. `initial_latency_us` is the initial mean latency,
    /// median latency per concurrent request, and service time, in µs.
    pub(crate) fn new(classes: usize, initial_latency_us: f64) -> Self {
        FleetEstimates {
            mean_latency_us: initial_latency_us,
            median_latency_us: initial_latency_us,
            service_time_us: initial_latency_us,
            latency_ratios: vec![None; classes],
            ..FleetEstimates::default()
        }
    }

    /// Returns the mean latency of attempts in µs.
    pub(crate) fn mean_latency_us(&self) -> f64 {
        self.mean_latency_us
    }

    /// Merges the latency of an attempt into the mean, by `weight`.
    pub(crate) fn observe_latency(&mut self, sample_us: f64, weight: f64) {
        update_mean(&mut self.mean_latency_us, sample_us, weight);
    }

    /// Returns the latency per concurrent request of the median server in µs.
    pub(crate) fn median_latency_us(&self) -> f64 {
        self.median_latency_us
    }

    /// Returns the service time in µs: the time that a server without load takes to answer.
    pub(crate) fn service_time_us(&self) -> f64 {
        self.service_time_us
    }

    /// Merges a sample of the service time into the mean, by `weight`.
    pub(crate) fn observe_service_time(&mut self, sample_us: f64, weight: f64) {
        update_mean(&mut self.service_time_us, sample_us, weight);
    }

    /// Returns the load factor of the median server; `None` if servers don't report their load.
    pub(crate) fn load_factor(&self) -> Option<f64> {
        self.load_factor
    }

    /// Replaces the latency per concurrent request and the load factor of the median server.
    pub(crate) fn set_medians(&mut self, latency_us: f64, load_factor: Option<f64>) {
        self.median_latency_us = latency_us;
        self.load_factor = load_factor;
    }

    /// Returns the mean number of this gateway's attempts of the lowest class in flight.
    pub(crate) fn lowest_class_in_flight(&self) -> f64 {
        self.lowest_class_in_flight
    }

    /// Returns the mean number of this gateway's attempts of all classes in flight.
    pub(crate) fn total_in_flight(&self) -> f64 {
        self.total_in_flight
    }

    /// Merges this gateway's current numbers of attempts in flight into their means, by `weight`:
    /// `lowest` of the lowest class and `total` of all classes.
    pub(crate) fn observe_in_flight(&mut self, lowest: f64, total: f64, weight: f64) {
        update_mean(&mut self.lowest_class_in_flight, lowest, weight);
        update_mean(&mut self.total_in_flight, total, weight);
    }

    /// Returns the mean latency ratio of each class, ordered by class id; `None` while unknown.
    pub(crate) fn latency_ratios(&self) -> &[Option<f64>] {
        &self.latency_ratios
    }

    /// Returns the largest latency ratio of the controlled classes, which are all classes other
    /// than `lowest`; a class that is the only one counts as controlled. `None` while all these
    /// ratios are unknown.
    pub(crate) fn worst_latency_ratio(&self, lowest: ClassId) -> Option<f64> {
        let is_only_class = self.latency_ratios.len() == 1;
        let ratios = self.latency_ratios.iter().enumerate();
        let controlled = ratios.filter(|(class, _)| *class != lowest.0 || is_only_class);
        controlled
            .filter_map(|(_, ratio)| *ratio)
            .max_by(f64::total_cmp)
    }

    /// Merges a sample of a class's latency ratio, from this gateway or a peer. The first sample
    /// sets the ratio; later samples are merged by `weight`.
    pub(crate) fn merge_latency_ratio(&mut self, class: ClassId, sample: f64, weight: f64) {
        let Some(ratio) = self.latency_ratios.get_mut(class.0) else {
            return;
        };
        let (mut mean, weight) = match *ratio {
            Some(mean) => (mean, weight),
            None => (PLACEHOLDER_RATIO, 1.0),
        };
        update_mean(&mut mean, sample, weight);
        *ratio = Some(mean);
    }

    /// Resets the latency ratio of a class to unknown.
    pub(crate) fn reset_latency_ratio(&mut self, class: ClassId) {
        if let Some(ratio) = self.latency_ratios.get_mut(class.0) {
            *ratio = None;
        }
    }

    /// Returns the mean number of answers per second at one gateway.
    pub(crate) fn throughput(&self) -> f64 {
        self.throughput
    }

    /// Merges a peer's throughput, in answers per second, into the mean, by `weight`.
    pub(crate) fn merge_throughput(&mut self, per_second: f64, weight: f64) {
        update_mean(&mut self.throughput, per_second, weight);
    }

    /// Counts an answer at this gateway.
    pub(crate) fn count_answer(&mut self) {
        self.answers_since_tick += 1.0;
    }

    /// Merges this gateway's throughput since the last control tick, which was `period` ago, into
    /// the mean, by `weight`, and resets the count of answers.
    pub(crate) fn merge_own_throughput(&mut self, period: Duration, weight: f64) {
        let per_second = self.answers_since_tick / period.as_seconds();
        update_mean(&mut self.throughput, per_second, weight);
        self.answers_since_tick = 0.0;
    }

    /// Updates a zone's unreachable fraction, by `weight`, with an attempt that could or could not
    /// connect.
    pub(crate) fn observe_zone(&mut self, zone: ZoneId, is_unreachable: bool, weight: f64) {
        let fraction = self.unreachable_by_zone.entry(zone).or_default();
        update_mean(fraction, f64::from(u8::from(is_unreachable)), weight);
    }

    /// Returns the fraction of attempts into a zone that could not connect.
    pub(crate) fn unreachable_fraction(&self, zone: ZoneId) -> f64 {
        self.unreachable_by_zone.get(&zone).copied().unwrap_or(0.0)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/fleet_estimates.rs"]
mod tests;
