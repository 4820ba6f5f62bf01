//! Tests that reads and writes which carry fewer bytes than there are delay no request. The system
//! may shorten any read or write of a socket.

use super::support::*;

/// Guards against requests that are closed without an answer, and lists that are not applied,
/// because a short read is mistaken for all that has arrived, or a short write for a full buffer.
#[test]
fn requests_are_answered_if_reads_and_writes_are_short() {
    let library = PreloadedLibrary::short_transfers();
    let servers = FakeServers::new();
    let entries: Vec<_> = (0..2)
        .map(|number| servers.start_returning_entry(&format!("s-{number}"), &[RESPONDS_OK]))
        .collect();
    let discovery = FakeDiscovery::start(&entries);
    let node = EdgeNode::start_with_preloaded_library(
        "short-transfers",
        discovery.address,
        &entries[..1],
        library.path(),
    );
    node.wait_for_log("endpoint list 1 applied: snapshot, 2 entries");
    let mut client = node.client();
    for number in 0..20 {
        let class = ["read", "submit", "pay"][number % 3];
        let request = request_text(&format!("r{number}"), class, "20000m");
        assert_eq!(client.exchange(&request).status(), 200, "{number}");
    }
}
