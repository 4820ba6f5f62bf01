//! Which servers requests are sent to.

use crate::common::*;
use gateway_core::*;
use std::collections::BTreeSet;

#[test]
fn nothing_new_goes_to_a_draining_or_missing_server() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), S, 2);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..ready_endpoint(0)
    };
    gateway.update_endpoints(EndpointUpdate::Delta, vec![draining]);
    for _ in 0..3 {
        gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, S);
    }
    assert!(gateway
        .in_flight
        .iter()
        .all(|attempt| attempt.server == ServerId(1)));
    gateway.update_endpoints(EndpointUpdate::Snapshot, Vec::new());
    let before = gateway.sent_count();
    gateway.request(IDEMPOTENT, UNLIMITED, CustomerId(8), S);
    assert_eq!(gateway.sent_count() - before, 0);
}

/// Attempts in flight at twelve slow servers, of one gateway out of so many.
fn in_flight_at_slow_servers(gateways: u32) -> usize {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, gateways), S, 12);
    for _ in 0..40 {
        for customer in 0..8 {
            gateway.request(IDEMPOTENT, UNLIMITED, CustomerId(customer), 3 * S);
        }
        gateway.advance(700 * MS);
        gateway.complete_all();
    }
    for customer in 0..40 {
        gateway.request(IDEMPOTENT, UNLIMITED, CustomerId(customer), 3 * S);
    }
    gateway.in_flight.len()
}

/// Many gateways, each with one in flight at every slow server, would overload them all.
#[test]
fn with_many_gateways_little_is_in_flight_at_slow_servers() {
    let few = in_flight_at_slow_servers(2);
    let many = in_flight_at_slow_servers(12);
    assert!((8..=12).contains(&few), "with few, one at each: {few}");
    assert!((1..=6).contains(&many), "with many, a part of that: {many}");
}

#[test]
fn a_large_fleet_chooses_servers_by_reported_load() {
    const FULL: ServerId = ServerId(0);
    let mut gateway = GatewayHarness::sole_gateway(5, settings(0, LARGE_FLEET), S, 4);
    let load = |server| if server == FULL { 30.0 } else { 0.0 };
    gateway.reported_loads = (0..4)
        .map(ServerId)
        .map(|server| (server, load(server)))
        .collect();
    let servers = gateway.complete_sequential_requests(200, 100 * MS);
    let sent = servers.len();
    let to_full = servers.iter().filter(|server| **server == FULL).count();
    assert!(
        sent >= 190 && to_full <= 20,
        "{to_full} of {sent} went to the full one"
    );
}

/// Few servers are used by one gateway, and all by the fleet.
#[test]
fn a_gateway_of_a_large_fleet_uses_a_subset_of_the_servers() {
    let mut used_by_fleet = BTreeSet::new();
    for number in 0..60 {
        let mut gateway =
            GatewayHarness::sole_gateway(u64::from(number), settings(number, LARGE_FLEET), S, 60);
        let mut used = BTreeSet::new();
        for _ in 0..60 {
            let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * S);
            used.extend(gateway.in_flight.iter().map(|attempt| attempt.server));
            gateway.advance(100 * MS); // as long as is expected of a server that is not known yet
            gateway.finish(&id, AttemptOutcome::Success);
        }
        assert!(
            (4..=20).contains(&used.len()),
            "gateway {number} used {}",
            used.len()
        );
        used_by_fleet.extend(used);
    }
    assert_eq!(used_by_fleet.len(), 60);
}

/// Where gateways are few for so many servers, each uses more of them, so that none is left out.
#[test]
fn every_server_is_in_the_subset_of_a_gateway() {
    let mut used = BTreeSet::new();
    for number in 0..23 {
        let mut gateway =
            GatewayHarness::sole_gateway(u64::from(number), settings(number, 23), S, 200);
        for _ in 0..400 {
            let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * S);
            used.extend(gateway.in_flight.iter().map(|attempt| attempt.server));
            gateway.finish(&id, AttemptOutcome::Success);
            gateway.advance(10 * MS);
        }
    }
    assert_eq!(used.len(), 200);
}

#[test]
fn a_retry_goes_to_another_one_of_equal_servers() {
    for seed in 0..20 {
        let mut gateway = GatewayHarness::with_servers(seed, settings(0, 2), S, 2);
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * S);
        let first = gateway.server_of(&id).expect("a first attempt");
        gateway.finish(&id, AttemptOutcome::NotSent); // which tells nothing of the server
        assert_ne!(gateway.server_of(&id), Some(first), "seed {seed}");
    }
}
