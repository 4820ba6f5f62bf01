//! Tests that a new process at the address of one that has gone is not taken for the old one.

use super::start_with_one_server;
use super::support::*;

/// Starts an edge node with one server in cell 1. Returns the server's address, too.
fn start(
    tag: &str,
    behaviors: &[ServerBehavior],
) -> (FakeServers, FakeDiscovery, EdgeNode, std::net::SocketAddr) {
    let servers = FakeServers::new();
    let address = servers.start("old", behaviors);
    let entries = [endpoint_entry("old", address, 1, "ready")];
    let discovery = FakeDiscovery::start(&entries);
    let node = EdgeNode::start(tag, discovery.address, &entries);
    (servers, discovery, node, address)
}

/// Sends a delta and waits until the edge node has applied it.
fn announce(node: &EdgeNode, watch: &mut std::net::TcpStream, sequence: u64, entry: String) {
    send_list(watch, &endpoint_list(sequence, false, &[entry]));
    node.wait_for_log(&format!("endpoint list {sequence} applied"));
}

/// Guards against requests for a server that has gone, which reach its successor at the same address
/// after the successor was announced as draining.
#[test]
fn address_of_draining_successor_gets_no_requests_of_its_predecessor() {
    let (servers, discovery, node, address) = start("reused-drain", &[RESPONDS_OK]);
    let (_, mut watch) = discovery.next_watch();
    node.wait_for_log("endpoint list 1 applied");
    let mut client = node.client();
    assert_eq!(
        client
            .exchange(&request_text("a", "pay", "20000m"))
            .status(),
        200
    );
    servers.next_request();
    announce(
        &node,
        &mut watch,
        2,
        endpoint_entry("new", address, 2, "ready"),
    );
    announce(
        &node,
        &mut watch,
        3,
        endpoint_entry("new", address, 2, "draining"),
    );
    let answer = client.exchange(&request_text("b", "pay", "300m"));
    assert_eq!(answer.status(), 503);
    servers.assert_no_more_requests();
}

/// Guards against a second execution: the old server may have executed the request, and its key is
/// known in its cell only. The process that has its address now belongs to another cell.
#[test]
fn keyed_request_is_not_repeated_at_successor_in_another_cell() {
    let (servers, discovery, node, address) =
        start("reused-key", &[ServerBehavior::NeverRespond, RESPONDS_OK]);
    let (_, mut watch) = discovery.next_watch();
    node.wait_for_log("endpoint list 1 applied");
    let mut client = node.client();
    client.send(&request_text("a", "submit", "2000m"));
    let first = servers.next_request();
    let successor = endpoint_entry("new", address, 2, "ready");
    // A watch that is opened later must not name the old server again.
    discovery.set_list(endpoint_list(3, true, std::slice::from_ref(&successor)));
    announce(&node, &mut watch, 2, successor);
    first
        .stream
        .shutdown(std::net::Shutdown::Both)
        .expect("connection is open");
    let answer = client.read_response().expect("final answer");
    assert_eq!(answer.status(), 502);
    servers.assert_no_more_requests();
}

/// Guards against a payment that is written to the connection of a process whose machine has
/// vanished, although its successor under the same name and address was announced.
#[test]
fn connection_to_earlier_process_of_restarted_server_is_not_used() {
    let (servers, discovery, node) = start_with_one_server("reused-name", &[RESPONDS_OK]);
    let (_, mut watch) = discovery.next_watch();
    node.wait_for_log("endpoint list 1 applied");
    let mut client = node.client();
    assert_eq!(
        client
            .exchange(&request_text("a", "pay", "20000m"))
            .status(),
        200
    );
    let first = servers.next_request();
    let address = first.stream.local_addr().expect("local address");
    let restarted =
        endpoint_entry("s-1", address, 1, "ready").replace(r#""born_ms":0"#, r#""born_ms":5000"#);
    announce(&node, &mut watch, 2, restarted);
    assert!(is_closed_in_time(&first));
    assert_eq!(
        client
            .exchange(&request_text("b", "pay", "20000m"))
            .status(),
        200
    );
    assert_eq!(servers.next_request().connection, 1);
}
