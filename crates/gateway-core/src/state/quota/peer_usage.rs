//! What another gateway has forwarded for a customer, as far as its messages show.

use crate::message::units_of_usage_steps;
use crate::time::{DurationExt, Timestamp};
use crate::types::GatewayId;
use crate::units::Units;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time after which a peer's usage no longer counts.
const USAGE_WINDOW: Duration = Duration::from_secs(2);

/// What each peer has forwarded for a customer.
#[derive(Default)]
pub(super) struct PeerUsages(BTreeMap<GatewayId, PeerUsage>);

impl PeerUsages {
    /// Takes in a peer's usage count; returns the units by which it rose.
    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        peer: GatewayId,
        incarnation: u32,
        count: u16,
    ) -> Units {
        let usage = self.of(peer);
        let steps = usage.delta(now, incarnation, count);
        let units = units_of_usage_steps(steps);
        if steps > 0 {
            usage.add(now, units);
        }
        units
    }

    /// Units a second that the peers have forwarded recently.
    pub(super) fn units_per_second(&mut self, now: Timestamp) -> f64 {
        let units = self
            .0
            .values_mut()
            .fold(Units::ZERO, |sum, peer| sum + peer.recent_units(now));
        units.as_f64() / USAGE_WINDOW.as_seconds()
    }

    /// The usage of one peer.
    pub(super) fn of(&mut self, peer: GatewayId) -> &mut PeerUsage {
        self.0.entry(peer).or_default()
    }
}

/// Units at one moment.
struct Usage {
    at: Timestamp,
    units: Units,
}

/// One peer's usage: its running count, and what was added to it recently.
#[derive(Default)]
pub(super) struct PeerUsage {
    /// The peer's incarnation: when it started, in ms.
    incarnation: u32,
    /// The last count that was accepted.
    count: u16,
    /// When a count was last received.
    received_at: Timestamp,
    /// What was added within the window, in the order of time.
    recent: VecDeque<Usage>,
}

impl PeerUsage {
    /// Takes in a running count, and returns by how much it rose. Messages may be late, repeated or
    /// out of order; a count that is lower after a silence of a whole window has begun anew, as its
    /// sender had dropped the customer.
    pub(super) fn delta(&mut self, now: Timestamp, incarnation: u32, count: u16) -> u16 {
        let silence = now.duration_since(self.received_at);
        self.received_at = now;
        let restarted = silence > USAGE_WINDOW && count < self.count;
        let delta = match self.incarnation {
            known if known == incarnation && restarted => count,
            known if known == incarnation => count.wrapping_sub(self.count),
            0 => 0, // the first count: what was forwarded before is long over
            _ => count,
        };
        if delta > u16::MAX / 2 {
            return 0; // the count went back: an old message
        }
        self.incarnation = incarnation;
        self.count = count;
        delta
    }

    /// Adds units that the peer has just reported as forwarded. What has expired is dropped, so that
    /// memory stays bounded where nobody asks for the recent units.
    pub(super) fn add(&mut self, now: Timestamp, units: Units) {
        self.drop_expired(now);
        self.recent.push_back(Usage { at: now, units });
    }

    /// Units within the last window.
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
