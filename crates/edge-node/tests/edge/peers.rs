//! Tests the datagrams between the edge node and its peers.

use super::start_with_one_server;
use super::support::*;
use std::net::UdpSocket;

#[test]
fn peer_receives_datagrams_and_malformed_datagrams_are_ignored() {
    let (_servers, _discovery, mut node) = start_with_one_server("peers", &[RESPONDS_OK]);
    let mut client = node.client();
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("free port");
    for malformed in [
        &[0xff; 1400][..],
        &[],
        &[4],
        &[4, 0, 1],
        &[4, 1, 0, 0, 9, 9],
        &[3, 0, 1],
        &[7; 256],
    ] {
        node.peer_socket
            .send_to(malformed, node.datagram_address)
            .expect("datagram is sent");
        unknown_sender
            .send_to(malformed, node.datagram_address)
            .expect("datagram is sent");
    }
    for number in 0..3 {
        assert_eq!(
            client
                .exchange(&request_text(&format!("r{number}"), "read", "20000m"))
                .status(),
            200
        );
        let mut buffer = [0; 2000];
        let (length, from) = node
            .peer_socket
            .recv_from(&mut buffer)
            .expect("peer receives a datagram");
        assert!(length <= 256 && from == node.datagram_address);
    }
    assert!(node.is_running());
}

/// Each of 300 edge nodes is identified by its address only, and a lease response goes to the peer
/// that sent the request.
#[test]
fn peers_are_identified_by_address_and_unknown_senders_are_ignored() {
    let socket = || UdpSocket::bind("127.0.0.1:0").expect("free port");
    let (last_peer, unknown_sender) = (socket(), socket());
    last_peer
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("read timeout is set");
    unknown_sender
        .set_nonblocking(true)
        .expect("non-blocking mode is set");
    let last_address = last_peer.local_addr().expect("local address");
    // Nobody listens on the addresses of peers 2 to 298.
    let unused_addresses =
        (2..299).map(|number| format!(r#""127.1.{}.{}:9","#, number / 250, 1 + number % 250));
    let peers = unused_addresses.collect::<String>() + &format!(r#""{last_address}"],"known""#);
    let with_many_peers = |config: String| {
        config
            .replace(r#""balancers":2"#, r#""balancers":300"#)
            .replace(r#"],"known""#, &format!(",{peers}"))
    };
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let node = EdgeNode::start_with_edited_config(
        "senders",
        FakeDiscovery::start(&entries).address,
        &entries,
        with_many_peers,
    );
    // A lease request for a customer whose gateway set contains only the node. Its fields are
    // version, kind, sequence, customer, plan, owner, first gateway, gateway count, units,
    // requested units (0), returned lease (0), and no health report.
    let lease_request = |sequence: u8| {
        [
            [4, 1, sequence, 0].as_slice(),
            &[9, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 16, 0],
            &[0; 6],
            &[0; 2],
        ]
        .concat()
    };
    let mut response = [0; 2000];
    for (sequence, peer) in [(2, &node.peer_socket), (3, &last_peer)] {
        unknown_sender
            .send_to(&lease_request(1), node.datagram_address)
            .expect("datagram is sent");
        peer.send_to(&lease_request(sequence), node.datagram_address)
            .expect("datagram is sent");
        peer.recv_from(&mut response)
            .expect("peer receives a response");
        assert_eq!(response[..5], [4, 2, sequence, 0, 0], "lease is granted");
        // The request of the unknown sender was received before the one that has been answered.
        assert!(
            unknown_sender.recv_from(&mut response).is_err(),
            "unknown sender must get no response"
        );
    }
}
