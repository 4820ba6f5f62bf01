//! Subsetting: the few servers that one gateway of a wide fleet uses, so that its connections stay in use. Each
//! pair of gateway and server that meets seldom costs a handshake each time, and a place at the server in between.

use crate::fuzzy::mix;
use crate::ranked::Ranked;
use crate::{GatewayId, ServerId};

/// Step round the ring from one gateway to the next, as a part of 2^64: the golden section. Gateways of any run of
/// numbers, as a customer's are, stand far apart and cover the servers evenly.
const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;

/// Servers in an order that is the same at every gateway, whatever their ids: where one comes or goes, each
/// gateway's part changes by one at the most.
#[derive(Default)]
pub(crate) struct Ring(Ranked<(u64, ServerId)>);

impl Ring {
    pub fn new(servers: impl Iterator<Item = ServerId>) -> Ring {
        Ring(servers.map(Self::key).collect())
    }

    fn key(server: ServerId) -> (u64, ServerId) {
        (mix(server.0 ^ (server.0 >> 32)), server)
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

    /// All servers once round, from so many places after this gateway's on.
    pub fn from(&self, me: GatewayId, after: usize) -> impl Iterator<Item = ServerId> + '_ {
        let turn = GOLDEN.wrapping_mul(u64::from(me.0));
        let start = ((u128::from(turn) * self.len() as u128) >> 64) as usize;
        self.0.round((start + after) % self.len().max(1)).map(|(_, server)| server)
    }
}

#[cfg(test)]
#[path = "../tests/unit/subset.rs"]
mod tests;
