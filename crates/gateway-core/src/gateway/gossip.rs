//! Messages between gateways: usage, lease requests and answers, and the digest of the fleet that rides on
//! these.

use super::Gateway;
use crate::message::{self, GossipDigest, HealthReport, Message, UsageCounts, MAX_USAGE_COUNTS};
use crate::policy::controller_inputs::LATENCY_RATIO_WEIGHT;
use crate::policy::fleet_mode::THROUGHPUT_WEIGHT;
use crate::policy::gossip as policy;
use crate::policy::load_balancing::SAMPLE_SIZE;
use crate::policy::quota_sharing::gossip::{merge_usage, USAGE_LIFETIME};
use crate::state::quota::PermitHolder;
use crate::statistics::update_mean;
use crate::time::Timestamp;
use crate::types::{ClassId, GatewayId};
use crate::Action;

impl Gateway {
    pub(super) fn on_peer_message(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let Some(message) = message::decode(bytes) else {
            return;
        };
        let settings = &self.deployment.settings;
        if from == settings.gateway_id || from.0 >= settings.gateway_count {
            return;
        }
        match message {
            Message::UsageCounts(usage) => {
                merge_usage(&mut self.quotas, settings, now, from, &usage);
            }
            Message::LeaseRequest(request, digest) => {
                self.merge_digest(now, digest);
                self.on_lease_request(now, from, &request, actions);
            }
            Message::LeaseResponse(response, digest) => {
                self.merge_digest(now, digest);
                self.on_lease_response(now, response, actions);
            }
            Message::PermitRelease(release) => {
                let holder = PermitHolder {
                    gateway: from,
                    sequence: release.sequence,
                };
                self.quotas.release_permit(release.customer, holder);
            }
        }
    }

    /// Notifies the peers of what was forwarded recently, also when that is nothing: it shows that this gateway
    /// is alive.
    pub(super) fn broadcast_usage(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(broadcasts) = self.quota_sharing.usage_broadcasts() else {
            return;
        };
        if now < self.timers.next_broadcast {
            return;
        }
        self.timers.next_broadcast = broadcasts.next_after(now);
        let mut counts = self.quotas.usage_counts(now, USAGE_LIFETIME);
        counts.truncate(MAX_USAGE_COUNTS);
        let usage = UsageCounts {
            incarnation: self.quotas.incarnation(),
            counts,
        };
        actions.push(Action::Broadcast {
            bytes: message::encode(&Message::UsageCounts(usage)),
        });
    }

    /// What rides on a message: how this gateway's requests fare, and reports on servers.
    pub(super) fn digest(&mut self, now: Timestamp) -> GossipDigest {
        let max_reports = if self.servers.walks_all() {
            usize::MAX
        } else {
            SAMPLE_SIZE
        };
        let reports = self
            .servers
            .recent_reports(now, policy::REPORT_LIFETIME, max_reports);
        GossipDigest {
            throughput: self.fleet.throughput,
            latency_ratios: self.fleet.latency_ratios().to_vec(),
            reports: policy::select_reports(reports, self.fleet.median_wait, &mut self.random),
        }
    }

    fn merge_digest(&mut self, now: Timestamp, digest: GossipDigest) {
        update_mean(
            &mut self.fleet.throughput,
            digest.throughput,
            THROUGHPUT_WEIGHT,
        );
        for (class, ratio) in digest.latency_ratios.into_iter().enumerate() {
            if let Some(ratio) = ratio {
                self.fleet
                    .merge_latency_ratio(ClassId(class), ratio, LATENCY_RATIO_WEIGHT);
            }
        }
        for report in digest.reports {
            self.merge_report(now, &report);
        }
    }

    fn merge_report(&mut self, now: Timestamp, report: &HealthReport) {
        let Some(id) = self.servers.by_short_id(report.server) else {
            return;
        };
        let Some(mut server) = self.servers.get_mut(now, &id) else {
            return;
        };
        let is_recent = report.age < policy::REPORT_LIFETIME;
        let median_wait = self.fleet.median_wait;
        let is_news =
            is_recent && server.merge_report(now, report, policy::REPORT_WEIGHT, median_wait);
        drop(server); // the failure rates that decide on ejection have to hold the report
        if is_news {
            self.update_ejection(now, id, report.class);
        }
    }
}
