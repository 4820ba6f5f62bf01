//! What a gateway estimates of the whole fleet, from its own observations and from gossip.

use crate::statistics::update_mean;
use crate::types::{ClassId, ZoneId};
use std::collections::BTreeMap;

/// Mean latency ratio that the first sample replaces, at a weight of 1.
const REPLACED_RATIO: f64 = -1.0;

/// Running means over the fleet.
#[derive(Default)]
pub(crate) struct FleetEstimates {
    /// µs: mean latency of attempts.
    pub(crate) mean_latency: f64,
    /// µs: median wait for one place at a server.
    pub(crate) median_wait: f64,
    /// µs that a server with free capacity takes.
    pub(crate) service_time: f64,
    /// Load factor of the median server, where servers report their load.
    pub(crate) load_factor: Option<f64>,
    /// Mean attempts in flight, of the lowest class and in all.
    pub(crate) lowest_in_flight: f64,
    pub(crate) total_in_flight: f64,
    /// By class: mean latency relative to the latency objective; `None` while unknown.
    latency_ratios: Vec<Option<f64>>,
    /// Answers a second at one gateway, and answers here since the last control tick.
    pub(crate) throughput: f64,
    pub(crate) completed_since_tick: f64,
    /// By zone: share of the attempts that found no connection.
    unreachable_by_zone: BTreeMap<ZoneId, f64>,
}

impl FleetEstimates {
    /// `expected`: the wait to start from, in µs.
    pub(crate) fn new(classes: usize, expected: f64) -> Self {
        FleetEstimates {
            mean_latency: expected,
            median_wait: expected,
            service_time: expected,
            latency_ratios: vec![None; classes],
            ..FleetEstimates::default()
        }
    }

    /// By class: mean latency relative to the latency objective; `None` while unknown.
    pub(crate) fn latency_ratios(&self) -> &[Option<f64>] {
        &self.latency_ratios
    }

    /// The largest latency ratio of all classes but `lowest`; of all, if there is only one. `None` while
    /// unknown.
    pub(crate) fn worst_latency_ratio(&self, lowest: ClassId) -> Option<f64> {
        let is_only_class = self.latency_ratios.len() == 1;
        let ratios = self.latency_ratios.iter().enumerate();
        let controlled = ratios.filter(|(class, _)| *class != lowest.0 || is_only_class);
        controlled
            .filter_map(|(_, ratio)| *ratio)
            .max_by(f64::total_cmp)
    }

    /// Takes in a sample of the latency ratio of a class: the first one sets it, later ones count by `weight`.
    pub(crate) fn merge_latency_ratio(&mut self, class: ClassId, sample: f64, weight: f64) {
        let Some(ratio) = self.latency_ratios.get_mut(class.0) else {
            return;
        };
        let (mut mean, weight) = match *ratio {
            Some(mean) => (mean, weight),
            None => (REPLACED_RATIO, 1.0),
        };
        update_mean(&mut mean, sample, weight);
        *ratio = Some(mean);
    }

    /// Makes the latency ratio of a class unknown.
    pub(crate) fn forget_latency_ratio(&mut self, class: ClassId) {
        if let Some(ratio) = self.latency_ratios.get_mut(class.0) {
            *ratio = None;
        }
    }

    /// Takes in whether an attempt into a zone found a connection.
    pub(crate) fn observe_zone(&mut self, zone: ZoneId, unreachable: bool, weight: f64) {
        let share = self.unreachable_by_zone.entry(zone).or_default();
        update_mean(share, f64::from(u8::from(unreachable)), weight);
    }

    /// Share of the attempts into a zone that found no connection.
    pub(crate) fn unreachable_share(&self, zone: ZoneId) -> f64 {
        self.unreachable_by_zone.get(&zone).copied().unwrap_or(0.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/fleet_estimates.rs"]
mod tests;
