//! Subsetting: the few servers that one gateway of a wide fleet uses, so that its connections stay in use. Each
//! pair of gateway and server that meets seldom costs a handshake each time, and a place at the server in between.

use crate::fuzzy::mix;
use crate::interface::{GatewayId, ServerId};

/// Step round the ring from one gateway to the next, as a part of 2^64: the golden section. Gateways of any run of
/// numbers, as a customer's are, stand far apart and cover the servers evenly.
const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;

/// Servers in an order that is the same at every gateway, whatever their ids: where one comes or goes, each
/// gateway's part changes by one at the most.
#[derive(Default)]
pub(crate) struct Ring(Vec<ServerId>);

impl Ring {
    pub fn new(servers: impl Iterator<Item = ServerId>) -> Ring {
        let mut order: Vec<_> = servers.collect();
        order.sort_by_key(|server| (mix(server.0 ^ (server.0 >> 32)), *server));
        Ring(order)
    }

    /// All servers once round, from this gateway's place on.
    pub fn from(&self, me: GatewayId) -> impl Iterator<Item = ServerId> + '_ {
        let turn = GOLDEN.wrapping_mul(u64::from(me.0));
        let start = ((u128::from(turn) * self.0.len() as u128) >> 64) as usize;
        self.0.iter().cycle().skip(start).take(self.0.len()).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    fn ring(servers: std::ops::Range<u64>) -> Ring {
        Ring::new(servers.map(|number| ServerId(number * 7919)))
    }

    #[test]
    fn the_servers_are_covered_evenly_by_all_gateways_and_by_those_of_one_customer() {
        for gateways in [0..100, 40..53] {
            let mut met: BTreeMap<ServerId, u32> = BTreeMap::new();
            let ring = ring(0..60);
            for me in gateways.clone() {
                ring.from(GatewayId(me)).take(12).for_each(|server| *met.entry(server).or_default() += 1);
            }
            let fair = gateways.len() as f64 * 12.0 / 60.0;
            let most = met.values().max().copied().map_or(0.0, f64::from);
            assert!(met.len() >= 58 && most <= fair * 1.2 + 1.5, "{gateways:?}: {} met, {most}", met.len());
        }
    }

    #[test]
    fn a_server_that_goes_changes_little() {
        let (before, after) = (ring(0..60), ring(1..60));
        for me in 0..100 {
            let old: Vec<_> = before.from(GatewayId(me)).take(12).collect();
            let kept = after.from(GatewayId(me)).take(12).filter(|server| old.contains(server)).count();
            assert!(kept >= 10, "gateway {me} keeps {kept} of 12");
        }
    }

    #[test]
    fn no_servers_are_no_ring() {
        assert_eq!(ring(0..0).from(GatewayId(3)).count(), 0);
        assert_eq!(ring(0..3).from(GatewayId(3)).count(), 3);
    }
}
