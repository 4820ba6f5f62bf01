//! Tests that run the edge node with fake clients, servers, peers and discovery over loopback
//! sockets. Each test covers one way in which these can fail. No test asserts on performance.

mod body_memory;
mod client_disconnect;
mod client_time;
mod customer_memory;
mod descriptors;
mod discovery_deadline;
mod endpoints;
mod fairness;
mod forwarding;
mod head_memory;
mod invalid_requests;
mod peers;
mod rejections;
mod request_sequence;
mod resting_clients;
mod retries;
mod reused_addresses;
mod short_transfers;
mod shutdown;
mod slow_discovery;
mod start;
#[path = "../support/mod.rs"]
mod support;
mod unexpected_response;
mod watch;

use support::*;

/// Starts an edge node with one server. The server uses one behavior per request, in this order,
/// and the last one for all further requests.
fn start_with_one_server(
    tag: &str,
    behaviors: &[ServerBehavior],
) -> (FakeServers, FakeDiscovery, EdgeNode) {
    start_with_one_server_and_config(tag, behaviors, |config| config)
}

/// Starts an edge node with one server, as [`start_with_one_server`] does, and with the configuration
/// text that `edit` returns for the usual one.
fn start_with_one_server_and_config(
    tag: &str,
    behaviors: &[ServerBehavior],
    edit: impl FnOnce(String) -> String,
) -> (FakeServers, FakeDiscovery, EdgeNode) {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", behaviors)];
    let discovery = FakeDiscovery::start(&entries);
    let node = EdgeNode::start_with_edited_config(tag, discovery.address, &entries, edit);
    (servers, discovery, node)
}
