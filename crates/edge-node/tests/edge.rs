//! The edge node over loopback sockets. Each test covers one way in which clients, servers, peers or discovery can fail;
//! none asserts on speed.

#[path = "edge/client_disconnect.rs"]
mod client_disconnect;
#[path = "edge/descriptors.rs"]
mod descriptors;
#[path = "edge/discovery_deadline.rs"]
mod discovery_deadline;
#[path = "edge/endpoints.rs"]
mod endpoints;
#[path = "edge/forwarding.rs"]
mod forwarding;
#[path = "edge/invalid_requests.rs"]
mod invalid_requests;
#[path = "edge/peers.rs"]
mod peers;
#[path = "edge/rejections.rs"]
mod rejections;
#[path = "edge/retries.rs"]
mod retries;
#[path = "edge/shutdown.rs"]
mod shutdown;
#[path = "edge/start.rs"]
mod start;
mod support;
#[path = "edge/unexpected_response.rs"]
mod unexpected_response;
#[path = "edge/watch.rs"]
mod watch;

use support::*;

/// An edge node with one app server, which takes these behaviors in turn; the last one stays in force.
fn with_one(tag: &str, behaviors: &[ServerBehavior]) -> (FakeServers, FakeDiscovery, EdgeNode) {
    let servers = FakeServers::new();
    let entries = [endpoint_entry(
        "s-1",
        servers.start("s-1", behaviors),
        1,
        "ready",
    )];
    let discovery = FakeDiscovery::start(&entries);
    let node = EdgeNode::start(tag, discovery.address, &entries);
    (servers, discovery, node)
}
