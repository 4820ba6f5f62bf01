//! The units that this gateway has forwarded for a customer, as announced to peers.

use crate::time::Timestamp;
use crate::units::Units;
use std::time::Duration;

/// A running count of forwarded units.
#[derive(Clone, Copy, Default)]
pub(super) struct ForwardedUsage {
    /// Units forwarded since the account was created.
    units: Units,
    /// When units were last added to the count.
    last_increased_at: Timestamp,
}

impl ForwardedUsage {
    /// Adds the units of a request that is forwarded now.
    pub(super) fn record(&mut self, now: Timestamp, units: Units) {
        self.units += units;
        self.last_increased_at = now;
    }

    /// Returns when the count last increased.
    pub(super) fn last_increased_at(&self) -> Timestamp {
        self.last_increased_at
    }

    /// Returns whether the count increased within the last `max_age`.
    pub(super) fn has_increased_within(&self, max_age: Duration, now: Timestamp) -> bool {
        self.units > Units::ZERO && now <= self.last_increased_at + max_age
    }

    /// Returns the units forwarded since the account was created.
    pub(super) fn units(&self) -> Units {
        self.units
    }
}
