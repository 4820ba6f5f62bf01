//! Sums and counts over the ready servers.

use super::ServerTable;
use crate::state::servers::server::Server;
use crate::statistics::count_as_f64;
use crate::time::Timestamp;
use crate::types::{ClassId, ServerId};

impl ServerTable {
    /// Iterates over the ready servers that are ejected for a class and whose next probe is due,
    /// longest due first.
    pub(crate) fn probes_due(
        &self,
        class: ClassId,
        now: Timestamp,
    ) -> impl Iterator<Item = ServerId> + '_ {
        self.index.probes_due(class, now)
    }

    /// Iterates over the observations of ready servers made after `start`, newest first.
    pub(crate) fn observed_after(
        &self,
        start: Timestamp,
    ) -> impl Iterator<Item = (ServerId, ClassId)> + '_ {
        self.index.observed_after(start)
    }

    pub(crate) fn ready_count(&self) -> usize {
        self.ring.len()
    }

    /// Returns the number of ready servers that are ejected for a class.
    pub(crate) fn ejected_count(&self, class: ClassId) -> usize {
        self.index.ejected_count(class)
    }

    /// Returns the number of ready servers that are not ejected for a class.
    pub(crate) fn healthy_count(&self, class: ClassId) -> usize {
        self.ready_count().saturating_sub(self.ejected_count(class))
    }

    /// Returns the sum of the ready servers' failure rates with a class. If all servers may be
    /// scanned, the rates are added in order of server id; otherwise the sum is taken from the
    /// index.
    pub(crate) fn failure_rate_sum(&self, class: ClassId) -> f64 {
        if self.scans_all() {
            return self
                .iter_ready()
                .map(|server| server.class_health(class).failure_rate())
                .sum();
        }
        self.index.failure_rate_sum(class)
    }

    /// Returns the mean of the ready servers' failure rates with a class.
    pub(crate) fn mean_failure_rate(&self, class: ClassId) -> f64 {
        self.failure_rate_sum(class) / count_as_f64(self.ready_count().max(1))
    }

    /// Returns the number of ready servers that are warm by now.
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

    /// Returns the values that `value` yields for the tracked ready servers, in ascending order.
    pub(crate) fn sorted_values(&self, value: impl Fn(&Server) -> Option<f64>) -> Vec<f64> {
        let mut values: Vec<f64> = self.iter_ready().filter_map(value).collect();
        values.sort_by(f64::total_cmp);
        values
    }
}
