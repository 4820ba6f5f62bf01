//! Entries of discovery's list in the decision library's terms.

use super::*;

fn host(health: EndpointHealth) -> EndpointEntry {
    EndpointEntry {
        name: "s-1".to_owned(),
        address: Some("127.0.0.1:9000".parse().expect("an address")),
        zone: "north".to_owned(),
        cell: 7,
        health,
        weight: 0.5,
        started_at_ms: 1200,
    }
}

fn zones(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Test vectors of the hash's authors: all edge nodes have to agree on a server's id.
#[test]
fn a_server_id_is_the_fnv_1a_hash_of_its_name() {
    assert_eq!(server_id(""), ServerId(0xcbf2_9ce4_8422_2325));
    assert_eq!(server_id("a"), ServerId(0xaf63_dc4c_8601_ec8c));
    assert_eq!(server_id("foobar"), ServerId(0x8594_4171_f739_67e8));
}

#[test]
fn a_zone_is_its_place_among_the_names_of_the_settings() {
    let names = zones(&["south", "north"]);
    assert_eq!(zone_id("north", &names), ZoneId(1));
    assert_eq!(zone_id("elsewhere", &names), UNKNOWN_ZONE);
    assert_eq!(zone_id("elsewhere", &[]), ONLY_ZONE);
}

#[test]
fn an_entry_keeps_its_values_and_its_start_becomes_microseconds() {
    let endpoint = endpoint(&host(EndpointHealth::Draining), &zones(&["north"]));
    assert_eq!(endpoint.server, server_id("s-1"));
    assert_eq!(endpoint.zone, ZoneId(0));
    assert_eq!(endpoint.cell, CellId(7));
    assert_eq!(endpoint.state, EndpointState::Draining);
    assert_eq!(endpoint.weight, 0.5);
    assert_eq!(endpoint.started_at, Some(Timestamp::from_micros(1_200_000)));
    let unknown_start = EndpointEntry {
        started_at_ms: 0,
        ..host(EndpointHealth::Ready)
    };
    assert_eq!(super::endpoint(&unknown_start, &[]).started_at, None);
}

#[test]
fn only_a_server_that_is_ready_takes_new_connections() {
    assert_eq!(
        dial_address(&host(EndpointHealth::Ready)),
        host(EndpointHealth::Ready).address
    );
    assert_eq!(dial_address(&host(EndpointHealth::Draining)), None);
    assert_eq!(dial_address(&host(EndpointHealth::Gone)), None);
}
