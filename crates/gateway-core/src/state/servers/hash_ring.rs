//! A hash ring of servers: an order by hash that is the same at every gateway, whatever the ids
//! are. Where a server is added or removed, a run of servers from a position on changes by at most
//! one.

use super::ranked_set::RankedSet;
use crate::hash::{fibonacci_hash, GOLDEN_RATIO};
use crate::types::{GatewayId, ServerId};

/// A server's hash and id, by which the ring is ordered.
type RingKey = (u64, ServerId);

/// Servers in the order of their hashes.
#[derive(Default)]
pub(crate) struct HashRing(RankedSet<RingKey>);

impl HashRing {
    /// The hash and id of a server.
    fn key(server: ServerId) -> RingKey {
        (fibonacci_hash(server.0 ^ (server.0 >> 32)), server)
    }

    /// Adds a server, unless it is there.
    pub(crate) fn insert(&mut self, server: ServerId) {
        self.0.insert(Self::key(server));
    }

    /// Removes a server, if it is there.
    pub(crate) fn remove(&mut self, server: ServerId) {
        self.0.remove(&Self::key(server));
    }

    /// How many servers there are.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// A gateway's position on the ring, as a rank. Steps of the golden ratio put the gateways of
    /// any run of numbers, as a customer's are, far apart, so that their subsets cover the servers
    /// evenly.
    pub(crate) fn position_of(&self, gateway: GatewayId) -> usize {
        let turn = GOLDEN_RATIO.wrapping_mul(u64::from(gateway.0));
        ((u128::from(turn) * self.len() as u128) >> 64) as usize
    }

    /// All servers in order from a position on, wrapping round.
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
