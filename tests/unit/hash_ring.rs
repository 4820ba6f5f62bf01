//! How gateways share out the ring.

use super::*;
use std::collections::BTreeMap;

fn ring(servers: std::ops::Range<u64>) -> HashRing {
    servers.map(|number| ServerId(number * 7919)).collect()
}

fn subset(ring: &HashRing, gateway: u32, size: usize) -> impl Iterator<Item = ServerId> + '_ {
    ring.iter_from(ring.position_of(GatewayId(gateway))).take(size)
}

#[test]
fn the_servers_are_covered_evenly_by_all_gateways_and_by_those_of_one_customer() {
    for gateways in [0..100, 40..53] {
        let mut uses: BTreeMap<ServerId, u32> = BTreeMap::new();
        let ring = ring(0..60);
        for gateway in gateways.clone() {
            subset(&ring, gateway, 12).for_each(|server| *uses.entry(server).or_default() += 1);
        }
        let fair = gateways.len() as f64 * 12.0 / 60.0;
        let most = uses.values().max().copied().map_or(0.0, f64::from);
        assert!(uses.len() >= 58 && most <= fair * 1.2 + 1.5, "{gateways:?}: {} used, {most}", uses.len());
    }
}

#[test]
fn a_server_that_goes_changes_little() {
    let (before, after) = (ring(0..60), ring(1..60));
    for gateway in 0..100 {
        let old: Vec<_> = subset(&before, gateway, 12).collect();
        let kept = subset(&after, gateway, 12).filter(|server| old.contains(server)).count();
        assert!(kept >= 10, "gateway {gateway} keeps {kept} of 12");
    }
}

#[test]
fn no_servers_are_no_ring() {
    assert_eq!(subset(&ring(0..0), 3, usize::MAX).count(), 0);
    assert_eq!(subset(&ring(0..3), 3, usize::MAX).count(), 3);
}
