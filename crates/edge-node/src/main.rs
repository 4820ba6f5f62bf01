//! The edge node (a gateway): sockets, timers and files around the decision module, which is the library. The policy
//! is all in there.
#![forbid(unsafe_code)]

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

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
