//! Tests that the edge node applies the list of an agent that answers slowly: later than the edge
//! node opens the next watch, or in pieces.

use super::support::*;
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
