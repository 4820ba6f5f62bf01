//! Messages between gateways: usage counts, lease requests and responses, and permit releases.

use super::Gateway;
use crate::message::{self, Message, UsageCounts, MAX_USAGE_COUNTS};
use crate::policy::quota_sharing::gossip::{merge_usage, USAGE_LIFETIME};
use crate::state::quota::PermitHolder;
use crate::time::Timestamp;
use crate::types::GatewayId;
use crate::Action;

impl Gateway {
    /// Handles a message from another gateway. Ignores messages that cannot be decoded, and
    /// messages whose sender is this gateway or is not in the settings.
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
                self.servers.merge_digest(now, digest, &mut self.random);
                self.on_lease_request(now, from, &request, actions);
            }
            Message::LeaseResponse(response, digest) => {
                self.servers.merge_digest(now, digest, &mut self.random);
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

    /// Broadcasts the recent usage counts if a broadcast is due. A broadcast without any counts is
    /// sent too, because it shows the peers that this gateway is alive.
    pub(super) fn broadcast_usage(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(broadcasts) = self.quota_sharing.usage_broadcasts() else {
            return;
        };
        if !self.timers.is_broadcast_due(now) {
            return;
        }
        self.timers.schedule_broadcast(broadcasts.next_after(now));
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
}
