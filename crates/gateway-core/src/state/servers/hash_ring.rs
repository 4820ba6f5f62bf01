//! A hash ring of servers: an order by hash that is the same at every gateway, whatever the ids
//! are. When a server is added or removed, a subset of consecutive servers from a given position
//! changes by at most one server.

use super::ranked_set::RankedSet;
use crate::hash::{fibonacci_hash, GOLDEN_RATIO};
use crate::types::{GatewayId, ServerId};

/// A server's hash and id, by which the ring is ordered.
type RingKey = (u64, ServerId);

/// Servers in the order of their hashes.
#[derive(Default)]
pub(crate) struct HashRing(RankedSet<RingKey>);

impl HashRing {
    /// Returns the hash and id of a server.
    fn key(server: ServerId) -> RingKey {
        (fibonacci_hash(server.0 ^ (server.0 >> 32)), server)
    }

    /// Adds a server, unless it is on the ring already.
    pub(crate) fn insert(&mut self, server: ServerId) {
        self.0.insert(Self::key(server));
    }

    /// Removes a server, if it is on the ring.
    pub(crate) fn remove(&mut self, server: ServerId) {
        self.0.remove(&Self::key(server));
    }

    /// Returns the number of servers on the ring.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns a gateway's position on the ring, as a rank. Multiples of the golden ratio place
    /// gateways with consecutive numbers, such as those of one customer, far apart, so that their
    /// subsets cover the servers evenly.
    pub(crate) fn position_of(&self, gateway: GatewayId) -> usize {
        let angle = GOLDEN_RATIO.wrapping_mul(u64::from(gateway.0));
        ((u128::from(angle) * self.len() as u128) >> 64) as usize
    }

    /// Iterates over all servers in ring order from `position`, wrapping around.
    pub(crate) fn iter_from(&self, position: usize) -> impl Iterator<Item = ServerId> + '_ {
        self.0
            .iter_from(position % self.len().max(1))
            .map(|(_, server)| server)
    }
}

impl FromIterator<ServerId> for HashRing {
    fn from_iter<I: IntoIterator<Item = ServerId>>(servers: I) -> Self {
        HashRing(servers.into_iter().map(Self::key).collect())
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/hash_ring.rs"]
mod tests;
