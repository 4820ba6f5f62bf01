//! Tests how entries of an endpoint list are converted into the decision library's types.

use super::*;

fn entry(health: EndpointHealth) -> EndpointEntry {
    EndpointEntry {
        name: "s-1".to_owned(),
        address: Some("127.0.0.1:9000".parse().expect("valid address")),
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

/// Uses the test vectors that the authors of FNV published. All edge nodes have to agree on a
/// server's id.
#[test]
fn server_id_is_fnv_1a_hash_of_name() {
    assert_eq!(server_id(""), ServerId(0xcbf2_9ce4_8422_2325));
    assert_eq!(server_id("a"), ServerId(0xaf63_dc4c_8601_ec8c));
    assert_eq!(server_id("foobar"), ServerId(0x8594_4171_f739_67e8));
}

#[test]
fn zone_id_is_index_in_configured_zone_names() {
    let names = zones(&["south", "north"]);
    assert_eq!(zone_id("north", &names), ZoneId(1));
    assert_eq!(zone_id("elsewhere", &names), UNKNOWN_ZONE);
    assert_eq!(zone_id("elsewhere", &[]), ONLY_ZONE);
}

#[test]
fn endpoint_keeps_values_and_converts_start_time_to_microseconds() {
    let endpoint = endpoint(&entry(EndpointHealth::Draining), &zones(&["north"]));
    assert_eq!(endpoint.server, server_id("s-1"));
    assert_eq!(endpoint.zone, ZoneId(0));
    assert_eq!(endpoint.cell, CellId(7));
    assert_eq!(endpoint.state, EndpointState::Draining);
    assert_eq!(endpoint.weight, 0.5);
    assert_eq!(endpoint.started_at, Some(Timestamp::from_micros(1_200_000)));
    let unknown_start = EndpointEntry {
        started_at_ms: 0,
        ..entry(EndpointHealth::Ready)
    };
    assert_eq!(super::endpoint(&unknown_start, &[]).started_at, None);
}

#[test]
fn only_ready_server_has_connect_address() {
    assert_eq!(
        process(&entry(EndpointHealth::Ready))
            .instance
            .map(|instance| instance.address),
        entry(EndpointHealth::Ready).address
    );
    assert_eq!(
        process(&entry(EndpointHealth::Draining))
            .instance
            .map(|instance| instance.address),
        None
    );
    assert_eq!(
        process(&entry(EndpointHealth::Gone))
            .instance
            .map(|instance| instance.address),
        None
    );
}
