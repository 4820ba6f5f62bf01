//! The units that other gateways have forwarded for a customer, according to their messages.

use crate::message::units_of_usage_steps;
use crate::time::{DurationExt, Timestamp};
use crate::types::GatewayId;
use crate::units::Units;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time for which a peer's usage counts as recent.
const USAGE_WINDOW: Duration = Duration::from_secs(2);

/// The usage of each peer for one customer.
#[derive(Default)]
pub(super) struct PeerUsages(BTreeMap<GatewayId, PeerUsage>);

impl PeerUsages {
    /// Merges a peer's usage count; returns the units by which the count increased.
    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        peer: GatewayId,
        incarnation: u32,
        count: u16,
    ) -> Units {
        let usage = self.usage_of(peer);
        let steps = usage.merge_count(now, incarnation, count);
        let units = units_of_usage_steps(steps);
        if steps > 0 {
            usage.add(now, units);
        }
        units
    }

    /// Returns the units per second that all peers together have forwarded recently.
    pub(super) fn units_per_second(&mut self, now: Timestamp) -> f64 {
        let units = self
            .0
            .values_mut()
            .fold(Units::ZERO, |sum, peer| sum + peer.recent_units(now));
        units.as_f64() / USAGE_WINDOW.as_seconds()
    }

    /// Returns the usage of a peer; an unknown peer is added.
    pub(super) fn usage_of(&mut self, peer: GatewayId) -> &mut PeerUsage {
        self.0.entry(peer).or_default()
    }
}

/// Units that a peer reported as forwarded.
struct UsageIncrease {
    /// When the report was received.
    at: Timestamp,
    units: Units,
}

/// The usage of one peer: its running count, and the recent increases of the count.
#[derive(Default)]
pub(super) struct PeerUsage {
    /// The peer's incarnation: when it started, in ms; 0 before the first count.
    incarnation: u32,
    /// The latest accepted count.
    count: u16,
    /// When a count was last received, accepted or not.
    received_at: Timestamp,
    /// The increases within the usage window, oldest first.
    recent: VecDeque<UsageIncrease>,
}

impl PeerUsage {
    /// Merges a running count, and returns by how much it increased. Messages may be late, repeated
    /// or out of order. A count that is lower after the peer was silent for longer than the usage
    /// window has started again from zero, because the peer had evicted the customer's account.
    pub(super) fn merge_count(&mut self, now: Timestamp, incarnation: u32, count: u16) -> u16 {
        let silence = now.duration_since(self.received_at);
        self.received_at = now;
        let has_count_restarted = silence > USAGE_WINDOW && count < self.count;
        let delta = match self.incarnation {
            known if known == incarnation && has_count_restarted => count,
            known if known == incarnation => count.wrapping_sub(self.count),
            0 => 0, // the first count: it includes usage that is too old to count
            _ => count,
        };
        if delta > u16::MAX / 2 {
            return 0; // the count decreased: the message is late
        }
        self.incarnation = incarnation;
        self.count = count;
        delta
    }

    /// Adds units that the peer has just reported as forwarded. Expired increases are dropped here
    /// too, so that memory stays bounded if [`recent_units`](Self::recent_units) is never called.
    pub(super) fn add(&mut self, now: Timestamp, units: Units) {
        self.drop_expired(now);
        self.recent.push_back(UsageIncrease { at: now, units });
    }

    /// Returns the units forwarded within the last usage window.
    pub(super) fn recent_units(&mut self, now: Timestamp) -> Units {
        self.drop_expired(now);
        self.recent.iter().map(|usage| usage.units).sum()
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while self
            .recent
            .front()
            .is_some_and(|usage| usage.at + USAGE_WINDOW < now)
        {
            self.recent.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/peer_usage.rs"]
mod tests;
