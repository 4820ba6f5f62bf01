//! The edge node process, a gateway. This crate owns sockets, timers, files and signals; all
//! decisions are made by [`gateway_core`]. [`run`] is the entry point that `main` calls.
//!
//! A module is public where integration tests call it directly: configuration files, endpoint
//! lists, the log, and the parsing of client requests.

mod admin;
mod bind;
mod body;
pub mod clients;
mod command;
pub mod config;
mod discovery;
pub mod endpoint_list;
pub mod log;
mod memory;
mod metrics;
mod node;
mod peers;
mod reload;
mod shutdown;
mod socket_io;
mod startup;
mod upstream;

pub use command::run;
