//! Servers in an order by hash that is the same at every gateway, whatever their ids: where one comes or goes, what
//! follows a position on the ring changes by one at the most.

use super::ranked_set::RankedSet;
use crate::hash::fibonacci_hash;
use crate::types::ServerId;

/// A server's place on the ring.
type RingKey = (u64, ServerId);

/// The ring.
#[derive(Default)]
pub(crate) struct HashRing(RankedSet<RingKey>);

impl HashRing {
    fn key(server: ServerId) -> RingKey {
        (fibonacci_hash(server.0 ^ (server.0 >> 32)), server)
    }

    pub fn insert(&mut self, server: ServerId) {
        self.0.insert(Self::key(server));
    }

    pub fn remove(&mut self, server: ServerId) {
        self.0.remove(&Self::key(server));
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// All servers in order from a position on, wrapping round.
    pub fn iter_from(&self, position: usize) -> impl Iterator<Item = ServerId> + '_ {
        self.0.iter_from(position % self.len().max(1)).map(|(_, server)| server)
    }
}

impl FromIterator<ServerId> for HashRing {
    fn from_iter<I: IntoIterator<Item = ServerId>>(servers: I) -> Self {
        HashRing(servers.into_iter().map(Self::key).collect())
    }
}
