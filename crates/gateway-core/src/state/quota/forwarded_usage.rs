//! What this gateway has forwarded for a customer, as announced to peers.

use crate::time::Timestamp;
use crate::units::Units;
use std::time::Duration;

/// Running count of forwarded units.
#[derive(Clone, Copy, Default)]
pub(super) struct ForwardedUsage {
    /// Units forwarded since the account was made.
    units: Units,
    /// When units were last added.
    last_risen_at: Timestamp,
}

impl ForwardedUsage {
    /// Adds the units of a request that is forwarded now.
    pub(super) fn record(&mut self, now: Timestamp, units: Units) {
        self.units += units;
        self.last_risen_at = now;
    }

    /// When it last rose.
    pub(super) fn last_risen_at(&self) -> Timestamp {
        self.last_risen_at
    }

    /// Whether it rose within `max_age`.
    pub(super) fn has_risen_within(&self, max_age: Duration, now: Timestamp) -> bool {
        self.units > Units::ZERO && now <= self.last_risen_at + max_age
    }

    /// Units forwarded since the account was made.
    pub(super) fn units(&self) -> Units {
        self.units
    }
}
