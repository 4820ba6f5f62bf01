//! Tests that the edge node applies the list of an agent that answers slowly: later than the edge
//! node opens the next watch, or in pieces.

use super::support::*;
use std::io::Write;
use std::time::Duration;

/// Sets the drain grace that the platform uses. The edge node opens the next watch after a quarter
/// of it.
fn with_short_drain_grace(config: String) -> String {
    config.replace(r#""drainGraceUs":20000000"#, r#""drainGraceUs":500000"#)
}

/// Starts an agent at this pace and an edge node, which must apply the agent's list.
fn assert_list_is_applied(tag: &str, pace: ListPace) {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    discovery.set_pace(pace);
    let node = EdgeNode::start_with_edited_config(
        tag,
        discovery.address,
        &entries,
        with_short_drain_grace,
    );
    node.wait_for_log("endpoint list 1 applied");
}

/// Guards against watches that are each given up shortly before their answer, so that requests are
/// sent to servers that were removed long ago.
#[test]
fn list_of_agent_that_answers_late_is_applied() {
    for delay_ms in [300, 1000, 2500] {
        let pace = ListPace::Late(Duration::from_millis(delay_ms));
        assert_list_is_applied(&format!("late-{delay_ms}"), pace);
    }
}

/// Guards against watches that are given up in the middle of their list, which is then requested
/// from the beginning.
#[test]
fn list_that_arrives_in_pieces_is_applied() {
    for duration_ms in [600, 2500] {
        let pieces = Pieces {
            piece_bytes: 60,
            duration: Duration::from_millis(duration_ms),
        };
        assert_list_is_applied(&format!("pieces-{duration_ms}"), ListPace::InPieces(pieces));
    }
}

/// Guards against watches from an outage, which are never answered, and which keep the edge node
/// from waiting for the answer to a later watch.
#[test]
fn list_is_applied_if_agent_is_slow_after_an_outage() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::silent();
    let node = EdgeNode::start_with_edited_config(
        "slow-after",
        discovery.address,
        &entries,
        with_short_drain_grace,
    );
    let unanswered: Vec<_> = (0..15).map(|_| discovery.next_watch()).collect();
    discovery.set_pace(ListPace::Late(Duration::from_millis(1000)));
    discovery.set_list(endpoint_list(2, true, &entries));
    node.wait_for_log("endpoint list 2 applied");
    drop(unanswered);
}

/// Number of reloads in a series. The log has a line for each: its rate limit is ten lines.
const RELOADS: usize = 8;

/// Guards against a series of reloads of which each closes the watch that discovery is about to
/// answer.
#[test]
fn list_is_applied_although_reloads_come_faster_than_answers() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let late = FakeDiscovery::start(&entries);
    late.set_list(endpoint_list(2, true, &entries));
    late.set_pace(ListPace::Late(Duration::from_millis(1000)));
    let node = EdgeNode::start("reloads", discovery.address, &entries);
    node.wait_for_log("endpoint list 1 applied");
    let (old, new) = (discovery.address.to_string(), late.address.to_string());
    node.reload(|text| text.replace(&old, &new));
    for _ in 0..RELOADS {
        std::thread::sleep(Duration::from_millis(300));
        node.reload(|text| text);
    }
    node.wait_for_log("endpoint list 2 applied");
    // The list was applied between two reloads.
    node.wait_for_log("configuration reloaded");
}

/// Guards against changes that are missed between a reload and the first answer of the new address.
#[test]
fn changes_from_old_address_are_applied_until_new_address_answers() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let silent = FakeDiscovery::silent();
    let node = EdgeNode::start("both", discovery.address, &entries);
    let (_, mut old_watch) = discovery.next_watch();
    let (old, new) = (discovery.address.to_string(), silent.address.to_string());
    node.reload(|text| text.replace(&old, &new));
    let (_, mut new_watch) = silent.next_watch();
    send_list(&mut old_watch, &endpoint_list(2, false, &entries));
    node.wait_for_log("endpoint list 2 applied");
    new_watch
        .write_all(WATCH_RESPONSE_HEAD.as_bytes())
        .expect("watch is open");
    send_list(&mut new_watch, &endpoint_list(3, true, &entries));
    node.wait_for_log("endpoint list 3 applied");
    // The old watch is closed once the new one has delivered a list.
    old_watch
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("read timeout is set");
    assert!(matches!(old_watch.peek(&mut [0]), Ok(0) | Err(_)));
}
