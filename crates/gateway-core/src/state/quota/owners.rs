//! Selection of the gateways that own a customer's quota, by hash.

use crate::hash::fibonacci_hash;
use crate::types::{CustomerId, GatewayId, GatewaySet};

/// The owners of one customer's quota, indexed from 0. The index after the last owner's is the
/// standby owner's.
#[derive(Clone, Copy)]
pub(crate) struct QuotaOwners {
    /// Number of owners, without the standby owner.
    count: u32,
    /// The gateways that the customer's requests come through.
    gateways: GatewaySet,
    gateway_count: u32,
    /// Hash of the customer, which selects the first owner among the customer's gateways.
    hash: u32,
}

impl QuotaOwners {
    /// Selects `count` owners (at least one) among the customer's gateways. `gateway_count` is the
    /// number of gateways in the fleet.
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

    /// Returns the number of owners, without the standby owner.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Returns the index of the standby owner, which follows the last owner's.
    pub(crate) fn standby_index(&self) -> u32 {
        self.count
    }

    /// Returns whether an index is that of an owner other than the standby owner.
    pub(crate) fn is_regular(&self, index: u32) -> bool {
        index < self.count
    }

    /// Returns the owner, or the standby owner, with this index. If the customer has no more
    /// gateways than owners, the standby owner is one of the owners.
    pub(crate) fn gateway(&self, index: u32) -> GatewayId {
        let member_count = self.gateways.count;
        let spacing = (member_count / (self.count + 1)).max(1);
        let offset = (self.hash % member_count + index * spacing) % member_count;
        GatewayId((self.gateways.first.0 % self.gateway_count + offset) % self.gateway_count)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/quota_owners.rs"]
mod tests;
