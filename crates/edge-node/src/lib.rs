//! The edge node (a gateway): sockets, timers, files and signals around the decisions, which are
//! all in [`gateway_core`]. [`run`] is the whole program; `main` only calls it.
//!
//! The public modules are those that only read a format: configurations, endpoint lists, the log
//! and the heads of requests. Tests call them directly.

mod admin;
mod bind;
pub mod clients;
mod command;
pub mod config;
mod discovery;
pub mod endpoint_list;
pub mod log;
mod metrics;
mod node;
mod peers;
mod reload;
mod shutdown;
mod startup;
mod upstream;

pub use command::run;
