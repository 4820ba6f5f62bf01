//! Entry point of the `edge-node` program; see [`edge_node::run`].

use std::process::ExitCode;

fn main() -> ExitCode {
    edge_node::run()
}
