//! Harness for tests that run the edge node as a process. Fake clients, servers, peers and a fake
//! discovery agent communicate with it over loopback.

// Each test target compiles the harness separately and uses only a part of it.
#![allow(dead_code, unused_imports)]

mod client;
mod configuration;
mod fake_discovery;
mod fake_server;
mod full_backlog;
mod http;
mod node;
mod pieces;
mod preloaded_library;
mod refusing_address;

pub(crate) use client::{example_read_request, request_text, Client};
pub(crate) use configuration::{
    example_config, runnable_example_config, write_config_file, EXAMPLE_CONFIG_PATH,
};
pub(crate) use fake_discovery::{
    endpoint_entry, endpoint_list, list_chunk, send_list, FakeDiscovery, ListPace,
    WATCH_RESPONSE_HEAD,
};
pub(crate) use fake_server::{
    is_closed_in_time, FakeServers, ReceivedRequest, ServerBehavior, SharedBehaviors,
    RESPONDS_ERROR, RESPONDS_OK, RESPONDS_OVERLOADED,
};
pub(crate) use full_backlog::FullBacklog;
pub(crate) use http::HttpMessage;
pub(crate) use node::{edge_node_command, spawn_edge_node, EdgeNode};
pub(crate) use pieces::Pieces;
pub(crate) use preloaded_library::PreloadedLibrary;
pub(crate) use refusing_address::RefusingAddress;

use std::time::Duration;

/// Upper bound of every wait. Only a failing test reaches it.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);
