//! Stand-ins on loopback for what an edge node talks to: app servers, discovery, clients.
// Each test file uses a part of them.
#![allow(dead_code, unused_imports)]

mod client;
mod configuration;
mod fake_discovery;
mod fake_server;
mod http;
mod node;

pub(crate) use client::*;
pub(crate) use configuration::*;
pub(crate) use fake_discovery::*;
pub(crate) use fake_server::*;
pub(crate) use http::*;
pub(crate) use node::*;

use std::time::Duration;

/// No wait is longer; only a failing test gets there.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);
