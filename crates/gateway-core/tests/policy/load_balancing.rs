//! Selection of the servers that requests are sent to.

use crate::common::*;
use gateway_core::*;
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn sends_no_attempt_to_draining_or_removed_server() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 2);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..ready_endpoint(0)
    };
    gateway.update_endpoints(EndpointUpdate::Delta, vec![draining]);
    for _ in 0..3 {
        gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, SECOND);
    }
    assert!(gateway
        .in_flight
        .iter()
        .all(|attempt| attempt.server == ServerId(1)));
    gateway.update_endpoints(EndpointUpdate::Snapshot, Vec::new());
    let before = gateway.sent_count();
    gateway.request(IDEMPOTENT, UNLIMITED, CustomerId(8), SECOND);
    assert_eq!(gateway.sent_count() - before, 0);
}

/// Returns the number of attempts that one gateway of a fleet has in flight at twelve slow servers.
fn in_flight_at_slow_servers(gateways: u32) -> usize {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, gateways), SECOND, 12);
    for _ in 0..40 {
        for customer in 0..8 {
            gateway.request(IDEMPOTENT, UNLIMITED, CustomerId(customer), 3 * SECOND);
        }
        gateway.advance(700 * MILLISECOND);
        gateway.complete_all();
    }
    for customer in 0..40 {
        gateway.request(IDEMPOTENT, UNLIMITED, CustomerId(customer), 3 * SECOND);
    }
    gateway.in_flight.len()
}

/// If each of many gateways had one attempt in flight at every slow server, all of these servers
/// would be overloaded.
#[test]
fn many_gateways_have_few_attempts_in_flight_at_slow_servers() {
    let with_few_gateways = in_flight_at_slow_servers(2);
    let with_many_gateways = in_flight_at_slow_servers(12);
    assert!(
        (8..=12).contains(&with_few_gateways),
        "about one attempt at each server: {with_few_gateways}"
    );
    assert!(
        (1..=6).contains(&with_many_gateways),
        "fewer attempts than servers: {with_many_gateways}"
    );
}

#[test]
fn large_fleet_prefers_servers_with_low_reported_load() {
    const FULL: ServerId = ServerId(0);
    let mut gateway = GatewayHarness::sole_gateway(5, settings(0, LARGE_FLEET), SECOND, 4);
    let load = |server| if server == FULL { 30.0 } else { 0.0 };
    gateway.reported_loads = (0..4)
        .map(ServerId)
        .map(|server| (server, load(server)))
        .collect();
    let servers = gateway.complete_sequential_requests(200, 100 * MILLISECOND);
    let sent = servers.len();
    let to_full = servers.iter().filter(|server| **server == FULL).count();
    assert!(
        sent >= 190 && to_full <= 20,
        "{to_full} of {sent} requests went to the full server"
    );
}

/// Each gateway uses few servers, and the fleet uses all of them.
#[test]
fn gateway_of_large_fleet_uses_subset_of_servers() {
    let mut used_by_fleet = BTreeSet::new();
    for number in 0..60 {
        let mut gateway = GatewayHarness::sole_gateway(
            u64::from(number),
            settings(number, LARGE_FLEET),
            SECOND,
            60,
        );
        let mut used = BTreeSet::new();
        for _ in 0..60 {
            let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
            used.extend(gateway.in_flight.iter().map(|attempt| attempt.server));
            gateway.advance(100 * MILLISECOND); // the expected latency of an unknown server
            gateway.finish(&id, AttemptOutcome::Success);
        }
        assert!(
            (4..=20).contains(&used.len()),
            "gateway {number} used {} servers",
            used.len()
        );
        used_by_fleet.extend(used);
    }
    assert_eq!(used_by_fleet.len(), 60);
}

/// If there are few gateways for many servers, each gateway uses more servers, so that no server is
/// left out.
#[test]
fn every_server_is_in_subset_of_some_gateway() {
    let mut used = BTreeSet::new();
    for number in 0..23 {
        let mut gateway =
            GatewayHarness::sole_gateway(u64::from(number), settings(number, 23), SECOND, 200);
        for _ in 0..400 {
            let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
            used.extend(gateway.in_flight.iter().map(|attempt| attempt.server));
            gateway.finish(&id, AttemptOutcome::Success);
            gateway.advance(10 * MILLISECOND);
        }
    }
    assert_eq!(used.len(), 200);
}

#[test]
fn retry_goes_to_other_of_two_equal_servers() {
    for seed in 0..20 {
        let mut gateway = GatewayHarness::with_servers(seed, settings(0, 2), SECOND, 2);
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
        let first = gateway.server_of(&id).expect("a first attempt");
        gateway.finish(&id, AttemptOutcome::NotSent); // reveals nothing about the server
        assert_ne!(gateway.server_of(&id), Some(first), "seed {seed}");
    }
}

/// Clients wait for 4 s, and the server is expected to need 100 ms. A short latency objective must not
/// make requests wait here one after the other while the server could work on several.
#[test]
fn attempts_in_flight_at_a_server_do_not_depend_on_latency_objective() {
    let in_flight = |objective_ms| {
        let settings = SettingsBuilder::new(0, 1)
            .latency_objective(Duration::from_millis(objective_ms))
            .build();
        let mut gateway = GatewayHarness::with_servers(1, settings, SECOND, 1);
        for _ in 0..20 {
            gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 4 * SECOND);
        }
        gateway.in_flight.len()
    };
    for objective_ms in [10, 400, 800, 60_000] {
        assert_eq!(in_flight(objective_ms), 3, "objective of {objective_ms} ms");
    }
}
