//! The edge node (a gateway): sockets, timers, files and signals around the decisions, which are all in
//! [`gateway_core`]. [`run`] is the whole program; `main` only calls it.

mod admin;
mod bind;
mod clients;
mod command;
mod config;
mod discovery;
mod endpoint_list;
mod log;
mod metrics;
mod node;
mod peers;
mod reload;
mod shutdown;
mod startup;
mod upstream;

pub use command::run;
