//! Health reports on servers, which lease messages carry: their selection, and the merge of received ones.

use super::Gateway;
use crate::message::{GossipDigest, HealthReport};
use crate::policy::fleet_mode::{LATENCY_RATIO_WEIGHT, THROUGHPUT_WEIGHT};
use crate::policy::health_reports;
use crate::policy::load_balancing::SAMPLE_SIZE;
use crate::statistics::update_mean;
use crate::time::Timestamp;
use crate::types::ClassId;

impl Gateway {
    /// The digest that a lease message carries: throughput and latency ratios as estimated here, and health reports
    /// on servers.
    pub(super) fn digest(&mut self, now: Timestamp) -> GossipDigest {
        let max_reports = if self.servers.walks_all() {
            usize::MAX
        } else {
            SAMPLE_SIZE
        };
        let reports =
            self.servers
                .recent_reports(now, health_reports::REPORT_LIFETIME, max_reports);
        GossipDigest {
            throughput: self.fleet.throughput,
            latency_ratios: self.fleet.latency_ratios.clone(),
            reports: health_reports::select_reports(
                reports,
                self.fleet.median_wait,
                &mut self.random,
            ),
        }
    }

    /// Merges what a peer reported of the fleet and of servers.
    pub(super) fn merge_digest(&mut self, now: Timestamp, digest: GossipDigest) {
        update_mean(
            &mut self.fleet.throughput,
            digest.throughput,
            THROUGHPUT_WEIGHT,
        );
        for (class, ratio) in digest.latency_ratios.into_iter().enumerate() {
            if ratio >= 0.0 {
                self.fleet
                    .merge_latency_ratio(ClassId(class), ratio, LATENCY_RATIO_WEIGHT);
            }
        }
        for report in digest.reports {
            self.merge_report(now, &report);
        }
    }

    /// Merges a peer's report on a server, and updates the server's ejection if the report was newer than what
    /// was known.
    fn merge_report(&mut self, now: Timestamp, report: &HealthReport) {
        let Some(id) = self.servers.by_short_id(report.server) else {
            return;
        };
        let Some(mut server) = self.servers.get_mut(now, &id) else {
            return;
        };
        let median_wait = self.fleet.median_wait;
        let is_newer = health_reports::is_recent(report)
            && server.merge_report(now, report, health_reports::REPORT_WEIGHT, median_wait);
        drop(server); // updates the sum of failure rates that decides on ejection
        if is_newer {
            self.update_ejection(now, id, report.class);
        }
    }
}
