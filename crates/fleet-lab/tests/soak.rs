//! Short seeded runs of `fleet-lab soak` with the edge node's real program.

mod support;

use std::process::{Command, Output};
use support::edge_node_program;

fn run_soak(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-lab"));
    command.arg("soak").args(arguments);
    command.output().expect("fleet-lab should start")
}

/// Guards against requests that are closed without an answer, and requests to removed servers,
/// under disruptions drawn from four seeds.
#[test]
fn rules_hold_under_seeded_disruptions() {
    let program = edge_node_program();
    let program = program.to_str().expect("path should be UTF-8");
    let size = ["--runs", "4", "--parallel", "2", "--seed", "1"];
    let output = run_soak(&[&size[..], &["--program", program]].concat());
    let report = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{report}");
    assert!(report.ends_with("4 runs, 0 failed\n"), "{report}");
}

#[test]
fn invalid_arguments_are_rejected_with_status_2() {
    for arguments in [["--runs", "0"], ["--parallel", "9"]] {
        assert_eq!(run_soak(&arguments).status.code(), Some(2));
    }
}
