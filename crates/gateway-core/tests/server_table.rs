//! Tests how many entries of its server table a gateway of a large fleet visits, and which servers
//! the gateway uses. Visits are counted and not timed, so that the tests do not depend on the
//! machine.

mod common;
mod gateway_pair;

use common::{settings, GatewayHarness, KEYED_BY_CELL, SECOND, UNLIMITED};
use gateway_core::*;
use gateway_pair::{delta, endpoint, server_number, snapshot, GatewayPair};
use std::collections::BTreeSet;

/// Number of servers on a large endpoint list.
const MANY_SERVERS: u64 = 110_000;

fn new_pair(servers: u64) -> GatewayPair {
    GatewayPair::new(servers).expect("valid settings")
}

/// Returns how many entries both gateways visit in one second of requests, after one second of
/// requests that fills their estimates of the servers.
fn entries_visited_in_one_second(servers: u64) -> u64 {
    let mut pair = new_pair(servers);
    pair.send_requests(0..200);
    let before = pair.entries_visited();
    pair.send_requests(200..400);
    pair.entries_visited() - before
}

/// The cost of a request, a timer or a control tick must not grow with the endpoint list, or a
/// gateway can't keep up with a large fleet.
#[test]
fn large_list_at_most_doubles_entries_visited_per_second() {
    let few = entries_visited_in_one_second(14);
    let many = entries_visited_in_one_second(MANY_SERVERS);
    assert!(
        few > 200 && many <= 2 * few,
        "visited {few} entries with 14 servers, {many} with {MANY_SERVERS}"
    );
}

#[test]
fn changed_endpoint_visits_at_most_three_entries() {
    let mut pair = new_pair(MANY_SERVERS);
    pair.send_requests(0..200);
    for number in 0..1_000 {
        let server = endpoint(number / 3 * 331);
        let changed = match number % 3 {
            0 => Endpoint {
                state: EndpointState::Draining,
                ..server
            },
            1 => Endpoint {
                state: EndpointState::Gone,
                ..server
            },
            _ => Endpoint {
                started_at: Some(pair.now),
                ..server
            },
        };
        let before = pair.gateways[0].entries_visited();
        pair.gateways[0].handle(pair.now, delta(vec![changed]), &mut Vec::new());
        let visited = pair.gateways[0].entries_visited() - before;
        assert!(
            visited <= 3,
            "change {number} of an endpoint visited {visited} entries"
        );
    }
}

/// Returns the servers to which the first gateway has sent attempts, in the order of the attempts.
fn servers_of_first_gateway(pair: &GatewayPair) -> Vec<ServerId> {
    let attempts = pair.sent.iter().filter(|attempt| attempt.gateway == 0);
    attempts.map(|attempt| attempt.server).collect()
}

#[test]
fn uses_whole_subset_and_replaces_gone_servers() {
    let servers = 20_000;
    let mut pair = new_pair(servers);
    pair.send_requests(0..1_500);
    let used: BTreeSet<_> = servers_of_first_gateway(&pair).into_iter().collect();
    let subset_size = 7 * servers as usize / 4_200 + 1;
    assert!(
        used.len() > subset_size * 3 / 4 && used.len() <= subset_size,
        "used {} servers with a subset of {subset_size}",
        used.len()
    );
    let remove = |server: &ServerId| Endpoint {
        state: EndpointState::Gone,
        ..endpoint(server_number(*server))
    };
    let removed: Vec<_> = used.iter().take(subset_size / 2).map(remove).collect();
    pair.handle(0, delta(removed.clone()));
    pair.sent.clear();
    pair.send_requests(1_500..3_000);
    let later = servers_of_first_gateway(&pair);
    assert!(later.len() > 500, "sent only {} attempts", later.len());
    let is_used = |endpoint: &Endpoint| later.contains(&endpoint.server);
    assert!(
        !removed.iter().any(is_used),
        "sent an attempt to a server that is gone"
    );
    let replacements: BTreeSet<_> = later
        .iter()
        .filter(|server| !used.contains(server))
        .collect();
    assert!(
        replacements.len() >= removed.len() / 2,
        "only {} new servers were used in place of {} removed servers",
        replacements.len(),
        removed.len()
    );
}

/// Servers that a snapshot does not list are gone, whether they were used or not. Servers that it
/// lists are used.
#[test]
fn snapshot_replaces_endpoint_list() {
    let mut pair = new_pair(5_000);
    pair.send_requests(0..400);
    for gateway in 0..2 {
        pair.handle(gateway, snapshot(1_000));
    }
    pair.sent.clear();
    pair.send_requests(400..800);
    assert!(
        pair.sent.len() > 300,
        "sent only {} attempts",
        pair.sent.len()
    );
    let is_listed = |server: ServerId, servers: u64| server_number(server) < servers;
    assert!(
        pair.sent
            .iter()
            .all(|attempt| is_listed(attempt.server, 1_000)),
        "sent an attempt to a server that is not listed"
    );
    for gateway in 0..2 {
        pair.handle(gateway, snapshot(14));
    }
    pair.sent.clear();
    pair.send_requests(800..1_200);
    let used: BTreeSet<_> = pair.sent.iter().map(|attempt| attempt.server).collect();
    assert!(
        used.len() >= 10 && used.iter().all(|server| is_listed(*server, 14)),
        "used servers {used:?}"
    );
}

/// If only the servers of one cell recognise an idempotency key, a retry must go to one of these
/// few servers.
#[test]
fn retry_of_request_keyed_by_cell_stays_in_cell() {
    let mut gateway = GatewayHarness::new(3, settings(0, 4_200), SECOND);
    gateway.customer_gateways.count = 1;
    gateway.update_endpoints(EndpointUpdate::Snapshot, (0..5_000).map(endpoint).collect());
    for round in 0..20 {
        let id = gateway.request(KEYED_BY_CELL, UNLIMITED, CustomerId(round), 2 * SECOND);
        let first = gateway.server_of(&id).expect("a first attempt");
        gateway.finish(&id, AttemptOutcome::ConnectionLost);
        let retry = gateway.server_of(&id).expect("a retry");
        assert_eq!(
            gateway.endpoints[&first].cell,
            gateway.endpoints[&retry].cell
        );
        gateway.finish(&id, AttemptOutcome::Success);
    }
}
