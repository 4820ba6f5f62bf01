//! The program `edge-node`.

use std::process::ExitCode;

fn main() -> ExitCode {
    edge_node::run()
}
