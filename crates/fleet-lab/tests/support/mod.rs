//! What the tests of several subcommands share.

use std::path::PathBuf;

/// Returns the path of the edge node's program from the last release build.
pub(crate) fn edge_node_program() -> PathBuf {
    let test = std::env::current_exe().expect("path of this test should be known");
    let target = test
        .ancestors()
        .nth(3)
        .expect("test should be in a target folder");
    let program = target.join("release/edge-node");
    assert!(
        program.is_file(),
        "{} is missing; build it with `cargo build --release`",
        program.display()
    );
    program
}
