//! The ring, and how gateways share it out.

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
            ring.from(GatewayId(me), 0).take(12).for_each(|server| *met.entry(server).or_default() += 1);
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
        let old: Vec<_> = before.from(GatewayId(me), 0).take(12).collect();
        let kept = after.from(GatewayId(me), 0).take(12).filter(|server| old.contains(server)).count();
        assert!(kept >= 10, "gateway {me} keeps {kept} of 12");
    }
}

#[test]
fn no_servers_are_no_ring() {
    assert_eq!(ring(0..0).from(GatewayId(3), 0).count(), 0);
    assert_eq!(ring(0..3).from(GatewayId(3), 0).count(), 3);
}
