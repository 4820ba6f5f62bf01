//! The lease that this gateway holds for a customer.

use crate::message::ReturnedLease;
use crate::time::Timestamp;
use crate::units::Units;

/// Units that an owner has granted in advance of the requests that will use them. This gateway may
/// use them without asking the owner, until they expire.
#[derive(Default)]
pub(crate) struct HeldLease {
    /// The units that remain.
    units: Units,
    /// The time up to which the units may be used.
    expires_at: Timestamp,
    /// Index of the owner that granted the lease.
    owner_index: u32,
    /// Sequence number of the lease request that the lease was granted for.
    sequence: u16,
}

impl HeldLease {
    /// Creates a lease granted by the owner with index `owner_index`, for the lease request with
    /// sequence number `sequence`.
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

    /// Returns whether any units remain, expired or not.
    pub(crate) fn has_units(&self) -> bool {
        self.units > Units::ZERO
    }

    pub(crate) fn owner_index(&self) -> u32 {
        self.owner_index
    }

    /// Returns the sequence number of the lease request that the lease was granted for.
    pub(crate) fn sequence(&self) -> u16 {
        self.sequence
    }

    /// Consumes units and returns the time up to which they may be used; `None`, consuming nothing,
    /// if too few units remain or they have expired.
    pub(crate) fn consume(&mut self, now: Timestamp, units: Units) -> Option<Timestamp> {
        let is_covered = self.has_units() && self.units >= units && now <= self.expires_at;
        if !is_covered {
            return None;
        }
        self.units -= units;
        Some(self.expires_at)
    }

    /// Gives up the remaining units and returns them for the owner with index `owner_index`. If
    /// another owner granted the lease, the units are lost and the returned lease has none.
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
