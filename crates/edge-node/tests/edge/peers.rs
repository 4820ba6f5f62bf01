//! Datagrams between the edge node and its peers.

use super::start_with_one_server;
use super::support::*;
use std::net::UdpSocket;

#[test]
fn peers_get_datagrams_and_malformed_ones_are_ignored() {
    let (_servers, _discovery, mut node) = start_with_one_server("peers", &[RESPONDS_OK]);
    let mut client = node.client();
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
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
            .expect("sent");
        stranger
            .send_to(malformed, node.datagram_address)
            .expect("sent");
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
            .expect("the peer gets a datagram");
        assert!(length <= 256 && from == node.datagram_address);
    }
    assert!(node.is_running());
}

/// Each of three hundred peers is identified by its address alone, and an answer goes to the peer
/// that asked.
#[test]
fn peers_are_identified_by_address_and_strangers_are_ignored() {
    let socket = || UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (last, stranger) = (socket(), socket());
    last.set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    stranger.set_nonblocking(true).expect("it does not wait");
    let address = last.local_addr().expect("an address");
    // Peers 2 to 298 have addresses where nobody listens.
    let nobody =
        (2..299).map(|number| format!(r#""127.1.{}.{}:9","#, number / 250, 1 + number % 250));
    let peers = nobody.collect::<String>() + &format!(r#""{address}"],"known""#);
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
    // A lease request for a customer whose only gateway is the node: version, kind, sequence,
    // customer, plan, owner, first gateway, gateway count, units, none requested on lease, none
    // returned, and no health report.
    let lease_request = |sequence: u8| {
        [
            [4, 1, sequence, 0].as_slice(),
            &[9, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 16, 0],
            &[0; 6],
            &[0; 2],
        ]
        .concat()
    };
    let mut answer = [0; 2000];
    for (sequence, peer) in [(2, &node.peer_socket), (3, &last)] {
        stranger
            .send_to(&lease_request(1), node.datagram_address)
            .expect("sent");
        peer.send_to(&lease_request(sequence), node.datagram_address)
            .expect("sent");
        peer.recv_from(&mut answer).expect("the peer is answered");
        assert_eq!(answer[..5], [4, 2, sequence, 0, 0], "granted");
        // The stranger's request was received before the one that has been answered.
        assert!(
            stranger.recv_from(&mut answer).is_err(),
            "nobody answers a stranger"
        );
    }
}
