//! What a gateway of a large fleet looks at: counted, not timed.

mod common;
mod gateway_pair;

use common::{settings, GatewayHarness, KEYED_BY_CELL, S, UNLIMITED};
use edge_node::*;
use gateway_pair::{entry, whole, Pair};
use std::collections::BTreeSet;

const MANY: u64 = 110_000;

/// Entries that both gateways looked at in a second of requests, after one that let them meet the servers.
fn visited_in_a_second(servers: u64) -> u64 {
    let mut pair = Pair::new(servers).expect("sound settings");
    let seen = |pair: &Pair| pair.gateways.iter().map(|gateway| gateway.entries_visited()).sum::<u64>();
    (0..200).for_each(|number| pair.request(number));
    let before = seen(&pair);
    (200..400).for_each(|number| pair.request(number));
    seen(&pair) - before
}

/// Danger: a request, a sweep or a tick that costs by what is listed: a gateway that can't keep up with a large fleet.
#[test]
fn a_second_of_requests_visits_little_more_where_many_are_listed() {
    let (few, many) = (visited_in_a_second(14), visited_in_a_second(MANY));
    assert!(few > 200 && many <= 2 * few, "{few} of 14 servers, {many} of {MANY}");
}

#[test]
fn an_entry_that_changes_visits_a_few() {
    let mut pair = Pair::new(MANY).expect("sound settings");
    (0..200).for_each(|number| pair.request(number));
    for number in 0..1_000 {
        let server = entry(number / 3 * 331);
        let changed = match number % 3 {
            0 => Endpoint { state: EndpointState::Draining, ..server },
            1 => Endpoint { state: EndpointState::Gone, ..server },
            _ => Endpoint { started_at: Some(pair.now), ..server },
        };
        let before = pair.gateways[0].entries_visited();
        let event = Event::EndpointsUpdated { kind: EndpointUpdate::Delta, endpoints: vec![changed] };
        pair.gateways[0].handle(pair.now, event, &mut Vec::new());
        let visited = pair.gateways[0].entries_visited() - before;
        assert!(visited <= 3, "entry {number} visited {visited}");
    }
}

/// All of its part of the fleet comes to be used, and no server that is not listed as ready.
#[test]
fn a_gateway_sends_to_all_of_its_part_and_to_none_that_left() {
    let servers = 20_000;
    let mut pair = Pair::new(servers).expect("sound settings");
    (0..1_500).for_each(|number| pair.request(number));
    let met: BTreeSet<_> = pair.sent.iter().filter(|sent| sent.0 == 0).map(|sent| sent.1).collect();
    let part = 7 * servers as usize / 4_200 + 1;
    assert!(met.len() > part * 3 / 4 && met.len() <= part, "{} of a part of {part}", met.len());
    let gone = |server: &ServerId| Endpoint { state: EndpointState::Gone, ..entry(server.0 & 0xFFFF_FFFF) };
    let left: Vec<_> = met.iter().take(part / 2).map(gone).collect();
    pair.handle(0, Event::EndpointsUpdated { kind: EndpointUpdate::Delta, endpoints: left.clone() });
    pair.sent.clear();
    (1_500..3_000).for_each(|number| pair.request(number));
    let late: Vec<_> = pair.sent.iter().filter(|sent| sent.0 == 0).map(|sent| sent.1).collect();
    assert!(late.len() > 500, "{} were sent", late.len());
    assert!(left.iter().all(|entry| !late.contains(&entry.server)), "one that left was sent to");
    let others = late.iter().filter(|server| !met.contains(server)).collect::<BTreeSet<_>>();
    assert!(others.len() >= left.len() / 2, "{} took the place of {}", others.len(), left.len());
}

/// What a whole list leaves out is gone, used or not; what it names is there again.
#[test]
fn a_whole_list_takes_the_place_of_the_one_before() {
    let mut pair = Pair::new(5_000).expect("sound settings");
    (0..400).for_each(|number| pair.request(number));
    (0..2).for_each(|gateway| pair.handle(gateway, whole(1_000)));
    pair.sent.clear();
    (400..800).for_each(|number| pair.request(number));
    assert!(pair.sent.len() > 300, "{} were sent", pair.sent.len());
    assert!(pair.sent.iter().all(|(_, server)| server.0 & 0xFFFF_FFFF < 1_000), "one that was left out");
    (0..2).for_each(|gateway| pair.handle(gateway, whole(14)));
    pair.sent.clear();
    (800..1_200).for_each(|number| pair.request(number));
    let met: BTreeSet<_> = pair.sent.iter().map(|sent| sent.1).collect();
    assert!(met.len() >= 10 && met.iter().all(|server| server.0 & 0xFFFF_FFFF < 14), "{met:?}");
}

/// A repeat that is dropped in its cell alone finds the few servers of that cell among all others.
#[test]
fn a_repeat_finds_its_cell() {
    let mut gateway = GatewayHarness::new(3, settings(0, 4_200), S);
    gateway.customer_gateways.count = 1;
    gateway.update_endpoints(EndpointUpdate::Snapshot, (0..5_000).map(entry).collect());
    for round in 0..20 {
        let id = gateway.request(KEYED_BY_CELL, UNLIMITED, CustomerId(round), 2 * S);
        let first = gateway.server_of(&id).expect("a first attempt");
        gateway.finish(&id, AttemptOutcome::ConnectionLost);
        let again = gateway.server_of(&id).expect("a repeat");
        assert_eq!(gateway.endpoints[&first].cell, gateway.endpoints[&again].cell);
        gateway.finish(&id, AttemptOutcome::Success);
    }
}
