//! Messages between gateways: usage, lease requests and answers.

use super::Gateway;
use crate::message::{self, LeaseAnswer, Message, UsageCounts, MAX_USAGE_COUNTS};
use crate::policy::fleet_mode::broadcast_interval;
use crate::policy::gossip as policy;
use crate::policy::quota::{observe_incarnation, PARTITIONED};
use crate::state::permits::PermitHolder;
use crate::state::quota_state::silent_gateways;
use crate::time::Timestamp;
use crate::types::GatewayId;
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
                self.servers.merge_digest(now, digest, &mut self.random);
                let Some(grant) = self.decide_lease_request(now, from, &request) else {
                    return;
                };
                let answer = LeaseAnswer {
                    sequence: request.sequence,
                    grant,
                };
                let answer =
                    Message::LeaseAnswer(answer, self.servers.digest(now, &mut self.random));
                actions.push(Action::SendToPeer {
                    to: from,
                    bytes: message::encode(&answer),
                });
            }
            Message::LeaseAnswer(answer, digest) => {
                self.servers.merge_digest(now, digest, &mut self.random);
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
        if !self.timers.is_broadcast_due(now) {
            return;
        }
        let Some(interval) = broadcast_interval(&self.deployment.settings) else {
            return;
        };
        self.timers
            .schedule_broadcast(now + policy::MIN_BROADCAST_INTERVAL.max(interval));
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
}
