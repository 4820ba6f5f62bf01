//! Malformed and random messages from peers.

use crate::common::*;
use gateway_core::*;
use std::collections::BTreeSet;

#[test]
fn ignores_malformed_messages() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    for bytes in [vec![], vec![9; 40], vec![1], vec![1; 300], vec![1; 13]] {
        gateway.handle(Event::PeerMessage {
            from: GatewayId(1),
            bytes,
        });
    }
    gateway.handle(Event::PeerMessage {
        from: GatewayId(77),
        bytes: vec![1; 12],
    });
    let id = gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * SECOND);
    assert_eq!(gateway.in_flight[0].request, id);
}

#[test]
fn random_messages_of_one_peer_eject_no_server_in_large_fleet() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, LARGE_FLEET), SECOND, 4);
    let mut random = fastrand::Rng::with_seed(3);
    for kind in 0..6u8 {
        for size in 0..80 {
            let mut bytes = vec![4, kind];
            bytes.extend((0..size).map(|_| random.u8(..)));
            gateway.handle(Event::PeerMessage {
                from: GatewayId(5),
                bytes,
            });
        }
    }
    // Health reports of a single peer, however many, eject no server: all four servers are still
    // used. Every attempt is answered, also that of an earlier request, because a server with an
    // attempt that hangs would be ejected as stalled.
    let mut used = BTreeSet::new();
    for customer in 0..1000 {
        gateway.request(IDEMPOTENT, UNLIMITED, CustomerId(customer), 2 * SECOND);
        gateway.advance(400 * MILLISECOND);
        used.extend(gateway.in_flight.iter().map(|attempt| attempt.server));
        gateway.complete_all();
    }
    assert_eq!(used.len(), 4, "servers used: {used:?}");
}
