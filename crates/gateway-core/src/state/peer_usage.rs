//! What another gateway has been heard to forward for a customer.

use crate::time::Timestamp;
use crate::units::Units;
use std::collections::VecDeque;
use std::time::Duration;

/// µs over which a peer's usage ages out (the design's two seconds).
pub(crate) const USAGE_WINDOW: Duration = Duration::from_secs(2);

/// Units at one moment.
struct Usage {
    at: Timestamp,
    units: Units,
}

/// One peer's usage: its running count, and what was added to it of late.
#[derive(Default)]
pub(crate) struct PeerUsage {
    /// The peer's incarnation: when it started, in ms.
    incarnation: u32,
    count: u16,
    heard_at: Timestamp,
    recent: VecDeque<Usage>,
}

impl PeerUsage {
    /// Takes in a running count, and returns by how much it rose. Messages may be late, repeated or out of
    /// order; a count that is lower after a silence of a whole window has begun anew, as its sender had
    /// dropped the customer.
    pub(crate) fn delta(&mut self, now: Timestamp, incarnation: u32, count: u16) -> u16 {
        let silence = now.duration_since(self.heard_at);
        self.heard_at = now;
        let restarted = silence > USAGE_WINDOW && count < self.count;
        let delta = match self.incarnation {
            known if known == incarnation && restarted => count,
            known if known == incarnation => count.wrapping_sub(self.count),
            0 => 0, // first heard of: what was forwarded before is long over
            _ => count,
        };
        if delta > u16::MAX / 2 {
            return 0; // the count went back: an old message
        }
        self.incarnation = incarnation;
        self.count = count;
        delta
    }

    /// Adds units that the peer has just been heard to forward.
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
#[path = "../../tests/unit/peer_usage.rs"]
mod tests;
