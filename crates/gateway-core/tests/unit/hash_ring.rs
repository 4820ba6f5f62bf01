//! The subsets of servers that gateways select on the hash ring.

use super::*;
use std::collections::BTreeMap;

/// Returns a ring of servers with the given numbers; their ids are not consecutive.
fn ring(servers: std::ops::Range<u64>) -> HashRing {
    servers.map(|number| ServerId(number * 7919)).collect()
}

fn subset(ring: &HashRing, gateway: u32, size: usize) -> impl Iterator<Item = ServerId> + '_ {
    ring.iter_from(ring.position_of(GatewayId(gateway)))
        .take(size)
}

#[test]
fn subsets_of_all_gateways_or_of_one_customer_cover_servers_evenly() {
    for gateways in [0..100, 40..53] {
        let mut uses: BTreeMap<ServerId, u32> = BTreeMap::new();
        let ring = ring(0..60);
        for gateway in gateways.clone() {
            for server in subset(&ring, gateway, 12) {
                *uses.entry(server).or_default() += 1;
            }
        }
        let mean_uses = gateways.len() as f64 * 12.0 / 60.0;
        let most = uses.values().max().copied().map_or(0.0, f64::from);
        assert!(
            uses.len() >= 58 && most <= mean_uses * 1.2 + 1.5,
            "{gateways:?}: {} servers used, {most} times at most",
            uses.len()
        );
    }
}

#[test]
fn removing_server_changes_subsets_by_few_servers() {
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
fn subset_is_no_larger_than_ring() {
    assert_eq!(subset(&ring(0..0), 3, usize::MAX).count(), 0);
    assert_eq!(subset(&ring(0..3), 3, usize::MAX).count(), 3);
}
