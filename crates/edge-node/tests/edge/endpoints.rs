//! Tests that endpoint lists from discovery are applied, and that the address of discovery can
//! change.

use super::request_sequence::RequestSequence;
use super::start_with_one_server;
use super::support::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

/// Returns the next watch. Panics unless it requests a snapshot, that is, names no list from which
/// to continue.
fn next_snapshot_watch(discovery: &FakeDiscovery) -> TcpStream {
    let (request_line, watch) = discovery.next_watch();
    assert!(
        request_line.contains("watch=1") && !request_line.contains("from"),
        "{request_line}"
    );
    watch
}

/// Sends an incomplete list on a watch and closes the connection.
fn break_within_list(mut watch: TcpStream) {
    watch
        .write_all(b"14\r\n{\"seq\":3,")
        .expect("watch is open");
    watch.shutdown(Shutdown::Both).expect("watch is open");
}

#[test]
fn endpoint_lists_are_applied_in_order_and_broken_watch_is_reopened() {
    let servers = FakeServers::new();
    let [address_1, address_2, address_3] =
        ["s-1", "s-2", "s-3"].map(|name| servers.start(name, &[RESPONDS_OK]));
    let entries = [endpoint_entry("s-1", address_1, 1, "ready")];
    let discovery = FakeDiscovery::start(&entries);
    let node = EdgeNode::start("list", discovery.address, &entries);
    let mut requests = RequestSequence::new(&node, &servers);
    requests.wait_until_received_by("s-1");
    let mut watch = next_snapshot_watch(&discovery);
    // A delta: one server drains, another one is added.
    let changed = [
        endpoint_entry("s-1", address_1, 1, "draining"),
        endpoint_entry("s-2", address_2, 2, "ready"),
    ];
    send_list(&mut watch, &endpoint_list(2, false, &changed));
    requests.wait_until_received_by("s-2");
    // The last list stays in use after the watch breaks, and the next watch begins with a snapshot.
    discovery.set_list(endpoint_list(2, true, &changed));
    break_within_list(watch);
    let mut watch = next_snapshot_watch(&discovery);
    requests.wait_until_received_by("s-2");
    // An outdated delta is ignored. A server that is missing from a snapshot is gone.
    let outdated = [
        endpoint_entry("s-2", address_2, 2, "gone"),
        endpoint_entry("s-1", address_1, 1, "ready"),
    ];
    send_list(&mut watch, &endpoint_list(1, false, &outdated));
    send_list(
        &mut watch,
        &endpoint_list(4, true, &[endpoint_entry("s-3", address_3, 3, "ready")]),
    );
    requests.wait_until_received_by("s-3");
    // The server's address changes.
    let new_address = servers.start("s-3 moved", &[RESPONDS_OK]);
    send_list(
        &mut watch,
        &endpoint_list(5, false, &[endpoint_entry("s-3", new_address, 3, "ready")]),
    );
    requests.wait_until_received_by("s-3 moved");
}

/// Waits until the edge node closes a watch.
fn assert_watch_closed(mut watch: TcpStream) {
    let mut rest = Vec::new();
    watch
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("read timeout is set");
    watch
        .read_to_end(&mut rest)
        .expect("edge node closes the old watch");
}

/// Without a handler, SIGHUP would end the process. The sequence numbers of the new discovery agent
/// begin at 1 again. The last list stays in use until the new agent has sent one.
#[test]
fn sighup_switches_to_discovery_address_in_configuration_file() {
    let (servers, old_discovery, mut node) = start_with_one_server("reload", &[RESPONDS_OK]);
    let old_watch = next_snapshot_watch(&old_discovery);
    let mut requests = RequestSequence::new(&node, &servers);
    // An invalid configuration changes nothing.
    node.reload(|text| text.replacen('{', "", 1));
    // Waits for each reload to be logged. A signal that is handled late would read the next version
    // of the file, and the address would change twice.
    node.wait_for_log("configuration rejected, the current one stays in effect");
    assert_eq!(requests.next_server(), "s-1");
    node.reload(|text| format!("{{{text}"));
    node.wait_for_log("reloaded");
    let new_discovery = FakeDiscovery::silent();
    node.reload(|text| {
        text.replace(
            &old_discovery.address.to_string(),
            &new_discovery.address.to_string(),
        )
    });
    let mut new_watch = next_snapshot_watch(&new_discovery);
    assert_watch_closed(old_watch);
    assert_eq!(requests.next_server(), "s-1");
    let new_address = servers.start("s-2", &[RESPONDS_OK]);
    new_watch
        .write_all(WATCH_RESPONSE_HEAD.as_bytes())
        .expect("watch is open");
    send_list(
        &mut new_watch,
        &endpoint_list(1, true, &[endpoint_entry("s-2", new_address, 2, "ready")]),
    );
    while requests.next_server() != "s-2" {}
    node.terminate();
    // A reload during shutdown must not disturb it.
    node.reload(|text| text);
    assert!(node.wait().success());
}
