//! Which of a customer's gateways own its quota, by hash.

use crate::hash::fibonacci_hash;
use crate::types::{CustomerId, GatewayId, GatewaySet};

/// The owners of one customer's quota, numbered from 0. The one after the last is the standby
/// owner.
#[derive(Clone, Copy)]
pub(crate) struct QuotaOwners {
    count: u32,
    /// The gateways that the customer's requests come through.
    gateways: GatewaySet,
    /// Gateways in the fleet.
    gateway_count: u32,
    /// Places the first owner among them.
    hash: u32,
}

impl QuotaOwners {
    /// `count` owners among the customer's gateways; at least one.
    pub(crate) fn new(
        customer: CustomerId,
        gateways: GatewaySet,
        count: u32,
        gateway_count: u32,
    ) -> Self {
        let hash = (fibonacci_hash(customer.0) >> 33) as u32;
        QuotaOwners {
            count,
            gateways,
            gateway_count,
            hash,
        }
    }

    /// How many there are, without the standby owner.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// The index of the standby owner: the one after the last owner's.
    pub(crate) fn standby_index(&self) -> u32 {
        self.count
    }

    /// Whether an index is that of an owner which is not the standby owner.
    pub(crate) fn is_regular(&self, index: u32) -> bool {
        index < self.count
    }

    /// The owner of that index, or the standby owner. Where the customer has no more gateways than
    /// owners, the standby owner is one of these.
    pub(crate) fn gateway(&self, index: u32) -> GatewayId {
        let members = self.gateways.count;
        let distance = (members / (self.count + 1)).max(1);
        let step = (self.hash % members + index * distance) % members;
        GatewayId((self.gateways.first.0 % self.gateway_count + step) % self.gateway_count)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/quota_owners.rs"]
mod tests;
