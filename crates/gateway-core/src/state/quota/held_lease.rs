//! The lease that a gateway holds for a customer.

use crate::message::ReturnedLease;
use crate::time::Timestamp;
use crate::units::Units;

/// Units that an owner has granted ahead of the requests that will use them: this gateway may use
/// them without asking, until they expire.
#[derive(Default)]
pub(crate) struct HeldLease {
    /// Units that remain.
    units: Units,
    /// Until when they may be used.
    expires_at: Timestamp,
    /// Index of the owner that granted it.
    owner_index: u32,
    /// The lease request that it was granted under.
    sequence: u16,
}

impl HeldLease {
    /// A lease that the owner of an index has granted under a lease request.
    pub(crate) fn new(
        units: Units,
        expires_at: Timestamp,
        owner_index: u32,
        sequence: u16,
    ) -> Self {
        HeldLease {
            units,
            expires_at,
            owner_index,
            sequence,
        }
    }

    /// Whether any units remain, expired or not.
    pub(crate) fn has_units(&self) -> bool {
        self.units > Units::ZERO
    }

    /// Index of the owner that granted it.
    pub(crate) fn owner_index(&self) -> u32 {
        self.owner_index
    }

    /// The lease request that it was granted under.
    pub(crate) fn sequence(&self) -> u16 {
        self.sequence
    }

    /// Consumes units, if so many remain in time; returns until when they may be used.
    pub(crate) fn consume(&mut self, now: Timestamp, units: Units) -> Option<Timestamp> {
        let is_covered = self.has_units() && self.units >= units && now <= self.expires_at;
        if !is_covered {
            return None;
        }
        self.units -= units;
        Some(self.expires_at)
    }

    /// The remaining units, to be returned to the owner that granted them; they can't be used here
    /// any more. An owner of another index gets none.
    pub(crate) fn give_back(&mut self, owner_index: u32) -> ReturnedLease {
        let remaining = std::mem::take(&mut self.units);
        let units = if owner_index == self.owner_index {
            remaining
        } else {
            Units::ZERO
        };
        ReturnedLease {
            sequence: self.sequence,
            units,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/held_lease.rs"]
mod tests;
