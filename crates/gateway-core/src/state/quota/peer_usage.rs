//! What another gateway has forwarded for a customer, as far as its messages show.

use crate::time::Timestamp;
use crate::units::Units;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after which a peer's usage no longer counts.
pub(crate) const USAGE_WINDOW: Duration = Duration::from_secs(2);

/// Units at one moment.
struct Usage {
    at: Timestamp,
    units: Units,
}

/// One peer's usage: its running count, and what was added to it recently.
#[derive(Default)]
pub(crate) struct PeerUsage {
    /// The peer's incarnation: when it started, in ms.
    incarnation: u32,
    count: u16,
    received_at: Timestamp,
    recent: VecDeque<Usage>,
}

impl PeerUsage {
    /// Takes in a running count, and returns by how much it rose. Messages may be late, repeated or out of
    /// order; a count that is lower after a silence of a whole window has begun anew, as its sender had
    /// dropped the customer.
    pub(crate) fn delta(&mut self, now: Timestamp, incarnation: u32, count: u16) -> u16 {
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

    /// Adds units that the peer has just reported as forwarded.
    pub(crate) fn add(&mut self, now: Timestamp, units: Units) {
        self.recent.push_back(Usage { at: now, units });
    }

    /// Units within the last window.
    pub(crate) fn recent_units(&mut self, now: Timestamp) -> Units {
        while self
            .recent
            .front()
            .is_some_and(|usage| usage.at + USAGE_WINDOW < now)
        {
            self.recent.pop_front();
        }
        self.recent.iter().map(|usage| usage.units).sum()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/peer_usage.rs"]
mod tests;
