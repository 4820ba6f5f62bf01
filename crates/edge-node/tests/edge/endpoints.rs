//! Endpoint lists from discovery, and a change of the address of discovery.

use super::request_sequence::RequestSequence;
use super::start_with_one_server;
use super::support::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

/// The next watch, which has to ask for a snapshot: it names no list from which to continue.
fn next_snapshot_watch(discovery: &FakeDiscovery) -> TcpStream {
    let (request_line, watch) = discovery.next_watch();
    assert!(
        request_line.contains("watch=1") && !request_line.contains("from"),
        "{request_line}"
    );
    watch
}

/// Breaks a watch within a line.
fn break_within_line(mut watch: TcpStream) {
    watch.write_all(b"14\r\n{\"seq\":3,").expect("open");
    watch.shutdown(Shutdown::Both).expect("open");
}

#[test]
fn endpoint_lists_are_applied_in_order_and_a_broken_watch_is_reopened() {
    let servers = FakeServers::new();
    let [one, two, three] = ["s-1", "s-2", "s-3"].map(|name| servers.start(name, &[RESPONDS_OK]));
    let entries = [endpoint_entry("s-1", one, 1, "ready")];
    let discovery = FakeDiscovery::start(&entries);
    let node = EdgeNode::start("list", discovery.address, &entries);
    let mut requests = RequestSequence::new(&node, &servers);
    requests.wait_until_received_by("s-1");
    let mut watch = next_snapshot_watch(&discovery);
    // A change: one server drains, another is added.
    let changed = [
        endpoint_entry("s-1", one, 1, "draining"),
        endpoint_entry("s-2", two, 2, "ready"),
    ];
    send_list(&mut watch, &endpoint_list(2, false, &changed));
    requests.wait_until_received_by("s-2");
    // The last list stays in use after the break, and the next watch begins with a snapshot.
    discovery.set_list(endpoint_list(2, true, &changed));
    break_within_line(watch);
    let mut watch = next_snapshot_watch(&discovery);
    requests.wait_until_received_by("s-2");
    // An outdated change is ignored; a server that is missing from a snapshot is gone.
    let outdated = [
        endpoint_entry("s-2", two, 2, "gone"),
        endpoint_entry("s-1", one, 1, "ready"),
    ];
    send_list(&mut watch, &endpoint_list(1, false, &outdated));
    send_list(
        &mut watch,
        &endpoint_list(4, true, &[endpoint_entry("s-3", three, 3, "ready")]),
    );
    requests.wait_until_received_by("s-3");
    // The server's address changes.
    let moved = servers.start("s-3 moved", &[RESPONDS_OK]);
    send_list(
        &mut watch,
        &endpoint_list(5, false, &[endpoint_entry("s-3", moved, 3, "ready")]),
    );
    requests.wait_until_received_by("s-3 moved");
}

/// The edge node has to close a watch at once.
fn assert_watch_closed(mut watch: TcpStream) {
    let mut rest = Vec::new();
    watch
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    watch.read_to_end(&mut rest).expect("the old watch ends");
}

/// SIGHUP ends a process that has no handler for it. The new discovery numbers its lists from the
/// start again, and the last list stays in use until the new discovery has sent one.
#[test]
fn sighup_changes_to_the_discovery_address_in_the_file() {
    let (servers, old, mut node) = start_with_one_server("reload", &[RESPONDS_OK]);
    let old_watch = next_snapshot_watch(&old);
    let mut requests = RequestSequence::new(&node, &servers);
    // An invalid configuration changes nothing.
    node.reload(|text| text.replacen('{', "", 1));
    // Waits for each reload: a signal that is handled late would read the next file, and change the
    // address twice.
    node.wait_for_log("configuration rejected, the current one stays in effect");
    assert_eq!(requests.next_server(), "s-1");
    node.reload(|text| format!("{{{text}"));
    node.wait_for_log("reloaded");
    let new = FakeDiscovery::silent();
    node.reload(|text| text.replace(&old.address.to_string(), &new.address.to_string()));
    let mut new_watch = next_snapshot_watch(&new);
    assert_watch_closed(old_watch);
    assert_eq!(requests.next_server(), "s-1");
    let two = servers.start("s-2", &[RESPONDS_OK]);
    new_watch
        .write_all(WATCH_RESPONSE_HEAD.as_bytes())
        .expect("open");
    send_list(
        &mut new_watch,
        &endpoint_list(1, true, &[endpoint_entry("s-2", two, 2, "ready")]),
    );
    while requests.next_server() != "s-2" {}
    node.terminate();
    // A reload during the shutdown is harmless.
    node.reload(|text| text);
    assert!(node.wait().success());
}
