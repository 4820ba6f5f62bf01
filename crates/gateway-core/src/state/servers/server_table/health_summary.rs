//! Sums and counts over the ready servers.

use super::ServerTable;
use crate::state::servers::server::Server;
use crate::statistics::count_as_f64;
use crate::time::Timestamp;
use crate::types::{ClassId, ServerId};

impl ServerTable {
    /// The ejected servers whose probe with a class is due, the longest due first.
    pub(crate) fn probes_due(
        &self,
        class: ClassId,
        now: Timestamp,
    ) -> impl Iterator<Item = ServerId> + '_ {
        self.index.probes_due(class, now)
    }

    /// Observations of the ready servers made after some time, the newest first.
    pub(crate) fn observed_after(
        &self,
        start: Timestamp,
    ) -> impl Iterator<Item = (ServerId, ClassId)> + '_ {
        self.index.observed_after(start)
    }

    /// How many servers are ready.
    pub(crate) fn ready_count(&self) -> usize {
        self.ring.len()
    }

    /// How many of the ready servers are ejected for a class.
    pub(crate) fn ejected_count(&self, class: ClassId) -> usize {
        self.index.ejected_count(class)
    }

    /// How many of the ready servers are not ejected for a class.
    pub(crate) fn healthy_count(&self, class: ClassId) -> usize {
        self.ready_count().saturating_sub(self.ejected_count(class))
    }

    /// Sum of the ready servers' failure rates with a class. Where all servers are scanned they are
    /// added in the order of their ids, else the sum is that of the index.
    pub(crate) fn failure_rate_sum(&self, class: ClassId) -> f64 {
        if self.scans_all() {
            return self
                .iter_ready()
                .map(|server| server.class_health(class).failure_rate())
                .sum();
        }
        self.index.failure_rate_sum(class)
    }

    /// Mean of the ready servers' failure rates with a class.
    pub(crate) fn mean_failure_rate(&self, class: ClassId) -> f64 {
        self.failure_rate_sum(class) / count_as_f64(self.ready_count().max(1))
    }

    /// How many of the ready servers are warm by now.
    pub(crate) fn warm_count(&mut self, now: Timestamp) -> usize {
        let period = self.warm_up_period;
        while self
            .warming_up
            .first()
            .is_some_and(|(started_at, _)| *started_at + period <= now)
        {
            self.warming_up.pop_first();
        }
        self.ring.len() - self.warming_up.len()
    }

    /// A value of each ready server that has one, in ascending order.
    pub(crate) fn sorted_values(&self, value: impl Fn(&Server) -> Option<f64>) -> Vec<f64> {
        let mut values: Vec<f64> = self.iter_ready().filter_map(value).collect();
        values.sort_by(f64::total_cmp);
        values
    }
}
