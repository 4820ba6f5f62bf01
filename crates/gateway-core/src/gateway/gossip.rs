//! Messages between gateways: usage, lease requests and answers, and the digest of the fleet that rides on
//! these.

use super::Gateway;
use crate::message::{
    self, GossipDigest, HealthReport, LeaseAnswer, Message, UsageCounts, MAX_USAGE_COUNTS,
};
use crate::policy::controller_inputs::LATENCY_RATIO_WEIGHT;
use crate::policy::fleet_mode::{broadcast_interval, THROUGHPUT_WEIGHT};
use crate::policy::gossip as policy;
use crate::policy::load_balancing::SAMPLE_SIZE;
use crate::policy::quota::{observe_incarnation, PARTITIONED};
use crate::state::deployment::FleetMode;
use crate::state::permits::PermitHolder;
use crate::state::quota_state::silent_gateways;
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
            Message::UsageCounts(usage) => self.merge_usage(now, from, &usage),
            Message::LeaseRequest(request, digest) => {
                self.merge_digest(now, digest);
                let Some(grant) = self.decide_lease_request(now, from, &request) else {
                    return;
                };
                let answer = LeaseAnswer {
                    sequence: request.sequence,
                    grant,
                };
                let answer = Message::LeaseAnswer(answer, self.digest(now));
                actions.push(Action::SendToPeer {
                    to: from,
                    bytes: message::encode(&answer),
                });
            }
            Message::LeaseAnswer(answer, digest) => {
                self.merge_digest(now, digest);
                self.on_lease_answer(now, answer, actions);
            }
            Message::PermitRelease(release) => {
                if let Some(bucket) = self.quotas.owned.get_mut(&release.customer) {
                    bucket.permits.release(PermitHolder {
                        gateway: from,
                        sequence: release.sequence,
                    });
                }
            }
        }
    }

    /// Drains buckets by what a peer has used since its last message.
    fn merge_usage(&mut self, now: Timestamp, from: GatewayId, usage: &UsageCounts) {
        let settings = &self.deployment.settings;
        self.quotas.last_heard[from.0 as usize] = now;
        observe_incarnation(&mut self.quotas, settings, now, usage.incarnation);
        for usage_count in &usage.counts {
            let Some(bucket) = self.quotas.local.get_mut(&usage_count.customer) else {
                continue;
            };
            let silent =
                silent_gateways(&self.quotas.last_heard, bucket.gateways(), now, PARTITIONED);
            bucket.refill(now, &settings.plans[bucket.plan.0], silent);
            let steps = bucket
                .peer_usage(from)
                .delta(now, usage.incarnation, usage_count.count);
            if steps > 0 {
                let units = f64::from(steps) * policy::USAGE_STEP;
                bucket.peer_usage(from).add(now, units);
                bucket.tokens = (bucket.tokens - units).max(-bucket.capacity);
            }
        }
    }

    /// Tells the peers what was forwarded of late, also when that is nothing: they hear that this gateway
    /// lives.
    pub(super) fn broadcast_usage(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if now < self.timers.next_broadcast || self.deployment.mode != FleetMode::Gossip {
            return;
        }
        let Some(interval) = broadcast_interval(&self.deployment.settings) else {
            return;
        };
        self.timers.next_broadcast = now + policy::MIN_BROADCAST_INTERVAL.max(interval);
        let mut counts = self
            .quotas
            .usage_counts(now, policy::USAGE_LIFETIME, policy::USAGE_STEP);
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
