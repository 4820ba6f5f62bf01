//! How gateways choose their subsets of servers on the ring.

use super::*;
use std::collections::BTreeMap;

fn ring(servers: std::ops::Range<u64>) -> HashRing {
    servers.map(|number| ServerId(number * 7919)).collect()
}

fn subset(ring: &HashRing, gateway: u32, size: usize) -> impl Iterator<Item = ServerId> + '_ {
    ring.iter_from(ring.position_of(GatewayId(gateway)))
        .take(size)
}

#[test]
fn all_gateways_and_those_of_one_customer_use_the_servers_evenly() {
    for gateways in [0..100, 40..53] {
        let mut uses: BTreeMap<ServerId, u32> = BTreeMap::new();
        let ring = ring(0..60);
        for gateway in gateways.clone() {
            for server in subset(&ring, gateway, 12) {
                *uses.entry(server).or_default() += 1;
            }
        }
        let even_share = gateways.len() as f64 * 12.0 / 60.0;
        let most = uses.values().max().copied().map_or(0.0, f64::from);
        assert!(
            uses.len() >= 58 && most <= even_share * 1.2 + 1.5,
            "{gateways:?}: {} used, {most}",
            uses.len()
        );
    }
}

#[test]
fn a_server_that_is_removed_changes_little() {
    let (before, after) = (ring(0..60), ring(1..60));
    for gateway in 0..100 {
        let old: Vec<_> = subset(&before, gateway, 12).collect();
        let retained = subset(&after, gateway, 12)
            .filter(|server| old.contains(server))
            .count();
        assert!(retained >= 10, "gateway {gateway} retains {retained} of 12");
    }
}

#[test]
fn an_empty_ring_has_no_servers_and_a_subset_is_no_larger_than_the_ring() {
    assert_eq!(subset(&ring(0..0), 3, usize::MAX).count(), 0);
    assert_eq!(subset(&ring(0..3), 3, usize::MAX).count(), 3);
}
