//! Gossip digests, which lease messages carry: selects the health reports of a digest to send, and
//! merges received digests.

use super::Servers;
use crate::message::{GossipDigest, HealthReport};
use crate::policy::controller_inputs::LATENCY_RATIO_WEIGHT;
use crate::policy::fleet_estimates::PEER_THROUGHPUT_WEIGHT;
use crate::policy::health_reports;
use crate::time::Timestamp;
use crate::types::ClassId;

impl Servers {
    /// Returns the digest for a lease message: this gateway's estimates of throughput and latency
    /// ratios, and health reports on servers.
    pub(in crate::gateway) fn digest(
        &self,
        now: Timestamp,
        random: &mut fastrand::Rng,
    ) -> GossipDigest {
        let scans_all = self.table.scans_all();
        let max_reports = health_reports::max_considered_observations(scans_all);
        let reports = self
            .table
            .recent_reports(now, health_reports::REPORT_LIFETIME, max_reports);
        let median_us = self.estimates.median_latency_us();
        GossipDigest {
            throughput: self.estimates.throughput(),
            latency_ratios: self.estimates.latency_ratios().to_vec(),
            reports: health_reports::select_reports(reports, median_us, random),
        }
    }

    /// Merges a peer's digest into the estimates of the fleet and the health of servers.
    pub(in crate::gateway) fn merge_digest(
        &mut self,
        now: Timestamp,
        digest: GossipDigest,
        random: &mut fastrand::Rng,
    ) {
        self.estimates
            .merge_throughput(digest.throughput, PEER_THROUGHPUT_WEIGHT);
        for (class, ratio) in digest.latency_ratios.into_iter().enumerate() {
            if let Some(ratio) = ratio {
                self.estimates
                    .merge_latency_ratio(ClassId(class), ratio, LATENCY_RATIO_WEIGHT);
            }
        }
        for report in digest.reports {
            self.merge_report(now, &report, random);
        }
    }

    /// Merges a peer's report on a server, and updates the server's ejection if the report is newer
    /// than this gateway's newest observation. Ignores reports on servers that are not in the
    /// table.
    fn merge_report(&mut self, now: Timestamp, report: &HealthReport, random: &mut fastrand::Rng) {
        let Some(id) = self.table.by_short_id(report.server) else {
            return;
        };
        let Some(mut server) = self.table.get_or_track(now, &id) else {
            return;
        };
        let median_us = self.estimates.median_latency_us();
        let is_newer = health_reports::is_recent(report)
            && server.merge_report(now, report, health_reports::REPORT_WEIGHT, median_us);
        drop(server); // updates the sum of failure rates that decides on ejection
        if is_newer {
            self.update_ejection(now, id, report.class, random);
        }
    }
}
