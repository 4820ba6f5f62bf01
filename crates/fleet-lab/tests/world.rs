//! Tests of the model of the gateways' environment, part by part.

#[path = "world/clients.rs"]
mod clients;
#[path = "world/common.rs"]
mod common;
#[path = "world/datagrams.rs"]
mod datagrams;
#[path = "world/discovery.rs"]
mod discovery;
#[path = "world/invariant_checker.rs"]
mod invariant_checker;
#[path = "world/limits.rs"]
mod limits;
#[path = "world/servers.rs"]
mod servers;
