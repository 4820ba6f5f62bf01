//! The ledger in which a quota owner records the leases that it has granted.

use crate::message::ReturnedLease;
use crate::types::GatewayId;
use crate::units::Units;
use std::collections::BTreeMap;

struct GrantedLease {
    /// Sequence number of the lease request that the lease was granted for.
    sequence: u16,
    units: Units,
}

/// The latest lease of each gateway, for one customer.
#[derive(Default)]
pub(crate) struct LeaseLedger(BTreeMap<GatewayId, GrantedLease>);

impl LeaseLedger {
    /// Records a lease, which replaces the gateway's previous lease. A lease of no units is
    /// ignored.
    pub(crate) fn grant(&mut self, to: GatewayId, sequence: u16, units: Units) {
        if units > Units::ZERO {
            self.0.insert(to, GrantedLease { sequence, units });
        }
    }

    /// Removes the lease that a gateway returns, and returns the units to put back. Only the latest
    /// lease is accepted, once, and for no more units than were granted. Otherwise units that were
    /// returned twice, granted in a lost response, or granted before a restart could exceed a hard
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
#[path = "../../../tests/unit/lease_ledger.rs"]
mod tests;
