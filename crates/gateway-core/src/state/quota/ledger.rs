//! A quota owner's ledger of the leases that it has granted.

use crate::message::ReturnedLease;
use crate::types::GatewayId;
use crate::units::Units;
use std::collections::BTreeMap;

struct GrantedLease {
    /// The lease request that it was granted under.
    sequence: u16,
    /// Units granted.
    units: Units,
}

/// The lease that each gateway holds.
#[derive(Default)]
pub(crate) struct LeaseLedger(BTreeMap<GatewayId, GrantedLease>);

impl LeaseLedger {
    /// Notes a lease; it replaces the one before. Without units there is none.
    pub(crate) fn grant(&mut self, to: GatewayId, sequence: u16, units: Units) {
        if units > Units::ZERO {
            self.0.insert(to, GrantedLease { sequence, units });
        }
    }

    /// Units of a gateway's lease that are returned. Only the latest lease is accepted, once, and
    /// no more than was granted: otherwise what is returned twice, of a lost response or from
    /// before a restart, would exceed a hard limit.
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
#[path = "../../../tests/unit/lease_ledger.rs"]
mod tests;
