//! Endpoint lists from discovery, and a change of the address of discovery.

use super::support::*;
use super::with_one;
use std::io::Write;

#[test]
fn endpoint_lists_are_applied_in_order_and_a_broken_watch_is_reopened() {
    let servers = FakeServers::new();
    let one = servers.start("s-1", &[RESPONDS_OK]);
    let two = servers.start("s-2", &[RESPONDS_OK]);
    let three = servers.start("s-3", &[RESPONDS_OK]);
    let hosts = [endpoint_entry("s-1", one, 1, "ready")];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start("list", discovery.address, &hosts);
    let mut client = node.client();
    let mut number = 0;
    let mut until = |name: &str| {
        // Once a change is visible, it has to last.
        let mut held = 0;
        while held < 10 {
            number += 1;
            assert_eq!(client.exchange(&request_text(&format!("r{number}"), "read", "20000m")).status(), 200);
            let server = servers.next_request().server;
            assert!(held == 0 || server == name, "{server} after {name}");
            held += u32::from(server == name);
        }
    };
    until("s-1");
    let (asked, mut watch) = discovery.next_watch();
    assert!(asked.contains("watch=1") && !asked.contains("from"), "{asked}");
    // A change: one server drains, another is added.
    let changed = [endpoint_entry("s-1", one, 1, "draining"), endpoint_entry("s-2", two, 2, "ready")];
    send_list(&mut watch, &endpoint_list(2, false, &changed));
    until("s-2");
    // The watch breaks within a line; the last list stays in use, and the next watch begins with a snapshot.
    discovery.set_list(endpoint_list(2, true, &changed));
    watch.write_all(b"14\r\n{\"seq\":3,").expect("open");
    watch.shutdown(std::net::Shutdown::Both).expect("open");
    let (asked, mut watch) = discovery.next_watch();
    assert!(asked.contains("watch=1") && !asked.contains("from"), "{asked}");
    until("s-2");
    // An outdated change is ignored; a server that is missing from a snapshot is gone.
    send_list(
        &mut watch,
        &endpoint_list(
            1,
            false,
            &[endpoint_entry("s-2", two, 2, "gone"), endpoint_entry("s-1", one, 1, "ready")],
        ),
    );
    send_list(&mut watch, &endpoint_list(4, true, &[endpoint_entry("s-3", three, 3, "ready")]));
    until("s-3");
    // The server's address changes.
    let moved = servers.start("s-3 moved", &[RESPONDS_OK]);
    send_list(&mut watch, &endpoint_list(5, false, &[endpoint_entry("s-3", moved, 3, "ready")]));
    until("s-3 moved");
}

/// SIGHUP ends a process that has no handler for it. The new discovery numbers its lists from the start again, and the
/// last list stays in use until the new discovery has sent one.
#[test]
fn sighup_changes_to_the_discovery_address_in_the_file() {
    let (servers, old, mut node) = with_one("reload", &[RESPONDS_OK]);
    let (asked, mut before) = old.next_watch();
    assert!(asked.contains("watch=1") && !asked.contains("from"), "{asked}");
    let serves = |client: &mut Client, id: &str| {
        assert_eq!(client.exchange(&request_text(id, "read", "20000m")).status(), 200);
        servers.next_request().server
    };
    let mut client = node.client();
    // An invalid configuration changes nothing.
    node.reload(|text| text.replacen('{', "", 1));
    // Waits for each reload: a signal that is handled late would read the next file, and change the address twice.
    node.wait_for_log("the old configuration stays");
    assert_eq!(serves(&mut client, "a"), "s-1");
    node.reload(|text| format!("{{{text}"));
    node.wait_for_log("reloaded");
    let new = FakeDiscovery::silent();
    let (from, to) = (old.address.to_string(), new.address.to_string());
    node.reload(|text| text.replace(&from, &to));
    let (asked, mut watch) = new.next_watch();
    assert!(asked.contains("watch=1") && !asked.contains("from"), "{asked}");
    // The old watch is closed at once.
    let mut rest = Vec::new();
    before.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    std::io::Read::read_to_end(&mut before, &mut rest).expect("the old watch ends");
    assert_eq!(serves(&mut client, "b"), "s-1");
    let two = servers.start("s-2", &[RESPONDS_OK]);
    watch.write_all(WATCH_RESPONSE_HEAD.as_bytes()).expect("open");
    send_list(&mut watch, &endpoint_list(1, true, &[endpoint_entry("s-2", two, 2, "ready")]));
    let mut number = 0;
    while serves(&mut client, &format!("c{number}")) != "s-2" {
        number += 1;
    }
    node.terminate();
    // A reload during the shutdown is harmless.
    node.reload(|text| text);
    assert!(node.wait().success());
}
