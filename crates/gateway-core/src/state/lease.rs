//! Leases: units of a quota that an owner grants ahead of the requests that will use them. Held by a gateway,
//! and as the owner's ledger.

use crate::message::ReturnedLease;
use crate::time::Timestamp;
use crate::types::GatewayId;
use crate::units::Units;
use std::collections::BTreeMap;

/// Units that this gateway may use without asking, until they expire.
#[derive(Default)]
pub(crate) struct Lease {
    pub(crate) units: Units,
    pub(crate) expires_at: Timestamp,
    /// Index of the owner that granted it, and the lease request it was granted under.
    pub(crate) owner_index: u32,
    pub(crate) sequence: u16,
    /// When one was last requested.
    pub(crate) requested_at: Timestamp,
}

impl Lease {
    /// Consumes units, if so many are left in time; returns until when they may be used.
    pub(crate) fn consume(&mut self, now: Timestamp, units: Units) -> Option<Timestamp> {
        let covered = self.units > Units::ZERO && self.units >= units && now <= self.expires_at;
        if !covered {
            return None;
        }
        self.units -= units;
        Some(self.expires_at)
    }

    /// What is left, to be returned to the owner that granted it; it can't be used here any more.
    pub(crate) fn give_back(&mut self, owner_index: u32) -> ReturnedLease {
        let left = std::mem::take(&mut self.units);
        if owner_index == self.owner_index {
            ReturnedLease {
                sequence: self.sequence,
                units: left,
            }
        } else {
            ReturnedLease {
                sequence: self.sequence,
                units: Units::ZERO,
            }
        }
    }
}

/// A lease as it is asked for: the units, and what comes back of the last one.
#[derive(Default)]
pub(crate) struct LeaseRenewal {
    pub(crate) requested_units: Units,
    pub(crate) returned: ReturnedLease,
}

struct GrantedLease {
    sequence: u16,
    units: Units,
}

/// An owner's ledger: the lease that each gateway holds.
#[derive(Default)]
pub(crate) struct LeaseLedger(BTreeMap<GatewayId, GrantedLease>);

impl LeaseLedger {
    /// Notes a lease; it replaces the one before.
    pub(crate) fn grant(&mut self, to: GatewayId, sequence: u16, units: Units) {
        if units > Units::ZERO {
            self.0.insert(to, GrantedLease { sequence, units });
        }
    }

    /// Units of a gateway's lease that come back. Only the known lease does, once, and no more than was
    /// granted: otherwise what comes back twice, of a lost answer or from before a restart, would pass a hard
    /// limit.
    pub(crate) fn reclaim(&mut self, from: GatewayId, returned: ReturnedLease) -> Option<Units> {
        let granted = self
            .0
            .get(&from)
            .filter(|lease| lease.sequence == returned.sequence)?
            .units;
        self.0.remove(&from);
        Some(returned.units.min(granted))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/lease.rs"]
mod tests;
