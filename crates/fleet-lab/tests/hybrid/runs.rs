//! Tests of short runs with the edge node's real program.

use crate::support::edge_node_program;
use std::process::{Command, Output};

fn run_hybrid(arguments: &[&str]) -> Output {
    let program = edge_node_program();
    let program = program.to_str().expect("path should be UTF-8");
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-lab"));
    command
        .args(["hybrid", "--program", program])
        .args(arguments)
        .output()
        .expect("fleet-lab should start")
}

/// Makes a short run, asserts that the exit status agrees with the report, and returns the report.
fn run_briefly(arguments: &[&str]) -> serde_json::Value {
    let report_file = tempfile::NamedTempFile::new().expect("temporary file should be created");
    let path = report_file.path().to_str().expect("path should be UTF-8");
    let size = [
        "--real",
        "2",
        "--hollow",
        "4",
        "--seconds",
        "3",
        "--within",
        "3",
        "--json",
        path,
    ];
    let output = run_hybrid(&[&size[..], arguments].concat());
    let stderr = String::from_utf8_lossy(&output.stderr);
    let text = std::fs::read_to_string(path).expect("report file should be readable");
    let report: serde_json::Value =
        serde_json::from_str(&text).unwrap_or_else(|_| panic!("no report: {stderr}"));
    let has_difference = report["rows"]
        .as_array()
        .expect("rows should be an array")
        .iter()
        .any(|row| row["agrees"] == false);
    let has_violation = invariants(&report)
        .iter()
        .any(|invariant| invariant["broken"] != 0);
    assert_eq!(
        output.status.code(),
        Some(i32::from(has_difference || has_violation)),
        "{stderr}"
    );
    report
}

fn invariants(report: &serde_json::Value) -> &[serde_json::Value] {
    report["rules"]
        .as_array()
        .expect("rules should be an array")
}

fn assert_no_violation(report: &serde_json::Value) {
    for invariant in invariants(report) {
        assert_eq!(invariant["broken"], 0, "{invariant}");
    }
    assert!(report["requests"]
        .as_array()
        .expect("requests should be an array")
        .iter()
        .all(|count| count.as_u64() > Some(0)));
}

/// Asserts that the counts of both kinds of nodes agree. Waits are not compared, because they
/// depend on the machine that the test runs on.
fn assert_counts_agree(report: &serde_json::Value) {
    let rows = report["rows"]
        .as_array()
        .expect("rows should be an array")
        .iter();
    let counted = rows.filter(|row| {
        row["what"]
            .as_str()
            .is_some_and(|what| !what.starts_with("wait"))
    });
    let mut compared = 0;
    for row in counted {
        assert_ne!(row["agrees"], false, "{row}");
        compared += usize::from(row["agrees"] == true);
    }
    assert_eq!(compared, 5, "messages, bytes, served, refused and failed");
}

#[test]
fn real_and_hollow_nodes_satisfy_invariants_and_agree() {
    let report = run_briefly(&["--seed", "7"]);
    assert_no_violation(&report);
    assert_counts_agree(&report);
    assert!(
        invariants(&report)
            .iter()
            .all(|invariant| invariant["looked_at"].as_u64() > Some(0)),
        "each invariant should be checked: {report}"
    );
}

#[test]
fn large_fleet_with_quota_owners_of_both_kinds_satisfies_invariants() {
    let report = run_briefly(&["--seed", "8", "--fleet-size", "40"]);
    assert_no_violation(&report);
    assert_counts_agree(&report);
}

#[test]
fn unresponsive_server_leaves_no_request_unanswered() {
    let report = run_briefly(&["--seed", "9", "--trouble", "mute"]);
    assert_no_violation(&report);
    let is_idempotency_result = |result: &&serde_json::Value| {
        result["rule"]
            .as_str()
            .is_some_and(|name| name.contains("runs once"))
    };
    let idempotency = invariants(&report).iter().find(is_idempotency_result);
    let repeated = idempotency
        .and_then(|result| result["seen"].as_str())
        .expect("result should say how many requests ran repeatedly");
    let failed = report["rows"]
        .as_array()
        .expect("rows should be an array")
        .iter()
        .find(|row| row["what"] == "failed share");
    let failed = failed.expect("report should have the failed share");
    let has_failures = failed["real"]["value"] != 0.0 || failed["hollow"]["value"] != 0.0;
    assert!(
        has_failures || !repeated.starts_with("0 "),
        "the unresponsive server should receive requests: {report}"
    );
}

#[test]
fn invalid_arguments_exit_with_status_2() {
    for arguments in [
        &["--real", "0"][..],
        &["--real", "5"],
        &["--hollow", "0"],
        &["--hollow", "101"],
        &["--seconds", "0"],
        &["--seconds", "121"],
        &["--fleet-size", "11"],
        &["--fleet-size", "1001"],
        &["--rate", "0"],
        &["--rate", "NaN"],
        &["--rate", "1000"],
        &["--within", "0.9"],
        &["--within", "inf"],
        &["--doubt", "-0.1"],
        &["--doubt=NaN"],
        &["--quota-tolerance", "-0.1"],
    ] {
        let output = run_hybrid(arguments);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {stderr}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
    }
    let missing = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .args(["hybrid", "--program", "/nowhere/edge-node"])
        .output()
        .expect("fleet-lab should start");
    let stderr = String::from_utf8_lossy(&missing.stderr);
    assert_eq!(
        (missing.status.code(), stderr.lines().count()),
        (Some(2), 1),
        "{stderr}"
    );
}

#[test]
fn program_that_does_not_listen_fails_run() {
    let other = env!("CARGO_BIN_EXE_fleet-lab");
    let output = Command::new(other)
        .args(["hybrid", "--program", other, "--seconds", "1"])
        .output()
        .expect("fleet-lab should start");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        (output.status.code(), stderr.lines().count()),
        (Some(1), 1),
        "{stderr}"
    );
    assert!(stderr.contains("does not listen"), "{stderr}");
}
