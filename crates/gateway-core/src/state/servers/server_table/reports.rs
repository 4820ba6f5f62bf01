//! Health reports on recently observed servers.

use super::ServerTable;
use crate::message::{short_id, HealthReport};
use crate::time::Timestamp;
use crate::types::{ClassId, ServerId};
use std::time::Duration;

impl ServerTable {
    /// Returns health reports on the newest observations of ready servers: at most `max_reports`,
    /// all younger than `max_age`, ordered by server id.
    pub(crate) fn recent_reports(
        &self,
        now: Timestamp,
        max_age: Duration,
        max_reports: usize,
    ) -> Vec<HealthReport> {
        let newest = self.observed_after(now - max_age).take(max_reports);
        let mut newest: Vec<_> = newest.collect();
        newest.sort_unstable();
        newest
            .into_iter()
            .filter_map(|(id, class)| self.report(now, id, class))
            .collect()
    }

    /// Returns the health report on a server with a class.
    fn report(&self, now: Timestamp, id: ServerId, class: ClassId) -> Option<HealthReport> {
        let server = self.get(&id)?;
        let health = server.health.get(class.0)?;
        Some(HealthReport {
            server: short_id(id),
            class,
            failure_rate: health.failure_rate(),
            latency_us: server.observed_latency_us().unwrap_or(0.0),
            load: server.reported_load(),
            age: now.duration_since(health.observed_at()),
        })
    }
}
