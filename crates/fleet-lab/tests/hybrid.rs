//! `fleet-lab hybrid`: its invariants on scripted requests, and short runs with the edge node's real program.

use fleet_lab::hybrid::ledger::{InvariantResult, Ledger, ANSWER_GRACE, SOCKET_TOLERANCE};
use fleet_lab::hybrid::observed_request::{ReceivedAnswer, SentRequest};
use fleet_lab::hybrid::quotas::{CustomerQuota, Quota};
use fleet_lab::hybrid::report::{NodeTotals, Report};
use fleet_lab::world::final_answer::FinalAnswer;
use gateway_core::{CustomerId, EndpointState, GatewayId, ServerId, Timestamp};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

const CUSTOMER: CustomerId = CustomerId(7);
const SERVER: ServerId = ServerId(3);
const MICROSECOND: Duration = Duration::from_micros(1);
const DRAIN_GRACE: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(2);
/// When ledgers are made and most requests are sent.
const START: Timestamp = Timestamp::EPOCH;
const SERVED: ReceivedAnswer = ReceivedAnswer::Genuine(FinalAnswer::Served);
const REJECTED: ReceivedAnswer = ReceivedAnswer::Genuine(FinalAnswer::Rejected);
const FAILED: ReceivedAnswer = ReceivedAnswer::Genuine(FinalAnswer::Failed);

/// One customer with ten units a second and twenty at once, and a tolerance of five.
fn new_ledger() -> Ledger {
    let quota = Quota {
        rate: 10.0,
        burst: 20.0,
        tolerance: 5.0,
        tolerance_per_second: 0.0,
    };
    Ledger::new(
        START,
        DRAIN_GRACE,
        [CustomerQuota {
            customer: CUSTOMER,
            quota,
        }],
    )
}

fn send(ledger: &mut Ledger, now: Timestamp, id: &str, node: u32, units: f64) {
    let request = SentRequest {
        node: GatewayId(node),
        customer: CUSTOMER,
        units,
        is_non_idempotent: true,
        timeout: TIMEOUT,
    };
    ledger.request_sent(now, id.into(), request);
}

fn violations(ledger: &Ledger, invariant: &str) -> u64 {
    result_of(ledger, invariant).violations
}

fn result_of(ledger: &Ledger, invariant: &str) -> InvariantResult {
    let mut results = ledger.check().into_iter();
    let result = results.find(|result| result.invariant.contains(invariant));
    result.unwrap_or_else(|| panic!("an invariant on {invariant}"))
}

#[test]
fn a_quota_holds_over_all_nodes_together_up_to_its_tolerance() {
    let mut ledger = new_ledger();
    for (number, node) in [0, 1, 0, 1, 0].into_iter().enumerate() {
        let id = number.to_string();
        send(&mut ledger, START, &id, node, 5.0);
        ledger.attempt_arrived(START, &id, SERVER);
        // A further attempt of the same request consumes nothing.
        ledger.attempt_arrived(START, &id, SERVER);
    }
    assert_eq!(result_of(&ledger, "quotas").checked, 1);
    assert_eq!(
        violations(&ledger, "quotas"),
        0,
        "the burst and the tolerance"
    );
    let refilled = START + Duration::from_millis(100);
    send(&mut ledger, refilled, "filled", 1, 1.0);
    ledger.attempt_arrived(refilled, "filled", SERVER);
    assert_eq!(
        violations(&ledger, "quotas"),
        0,
        "what has been refilled meanwhile"
    );
    send(&mut ledger, refilled, "over", 0, 0.5);
    assert_eq!(
        violations(&ledger, "quotas"),
        0,
        "no attempt has arrived yet"
    );
    ledger.attempt_arrived(refilled, "over", SERVER);
    assert_eq!(violations(&ledger, "quotas"), 1);
}

#[test]
fn an_unused_quota_accumulates_no_more_than_its_burst() {
    let mut ledger = new_ledger();
    let later = START + Duration::from_secs(3_600);
    send(&mut ledger, later, "all", 0, 25.0);
    ledger.attempt_arrived(later, "all", SERVER);
    assert_eq!(violations(&ledger, "quotas"), 0);
    send(&mut ledger, later, "more", 0, 0.1);
    ledger.attempt_arrived(later, "more", SERVER);
    assert_eq!(violations(&ledger, "quotas"), 1);
}

#[test]
fn each_request_has_one_answer_in_time() {
    let mut ledger = new_ledger();
    let last = START + TIMEOUT + ANSWER_GRACE;
    for (id, answers) in [
        ("one", &[last][..]),
        ("none", &[]),
        ("two", &[START + MICROSECOND, START + 2 * MICROSECOND]),
        ("late", &[last + MICROSECOND]),
    ] {
        send(&mut ledger, START, id, 0, 1.0);
        for at in answers {
            ledger.answered(*at, id, FAILED);
        }
    }
    let result = result_of(&ledger, "final answer");
    assert_eq!(
        (result.checked, result.violations),
        (4, 3),
        "{}",
        result.details
    );
}

#[test]
fn a_non_idempotent_request_may_run_once() {
    let mut ledger = new_ledger();
    send(&mut ledger, START, "pay", 0, 1.0);
    ledger.execution_started("pay");
    assert_eq!(violations(&ledger, "unsafe"), 0);
    ledger.execution_started("pay");
    assert_eq!(violations(&ledger, "unsafe"), 1);
}

#[test]
fn no_attempt_may_be_sent_to_a_draining_server_after_the_grace_period() {
    let mut ledger = new_ledger();
    ledger.endpoint_received(
        START + 1_000 * MICROSECOND,
        GatewayId(0),
        SERVER,
        EndpointState::Draining,
    );
    // The first time counts.
    ledger.endpoint_received(
        START + 2_000 * MICROSECOND,
        GatewayId(0),
        SERVER,
        EndpointState::Draining,
    );
    for (id, node, at) in [
        ("last", 0, 1_000),
        ("unaware", 1, 9_000),
        ("after", 0, 1_001),
    ] {
        send(&mut ledger, START, id, node, 1.0);
        let arrived_at = START + at * MICROSECOND + DRAIN_GRACE + SOCKET_TOLERANCE;
        ledger.attempt_arrived(arrived_at, id, SERVER);
    }
    let result = result_of(&ledger, "leaves");
    assert_eq!(
        (result.checked, result.violations),
        (1, 1),
        "{}",
        result.details
    );
    ledger.endpoint_received(
        START + 3_000 * MICROSECOND,
        GatewayId(0),
        SERVER,
        EndpointState::Ready,
    );
    send(&mut ledger, START, "back", 0, 1.0);
    ledger.attempt_arrived(Timestamp::from_micros(u64::MAX / 2), "back", SERVER);
    assert_eq!(violations(&ledger, "leaves"), 1, "it is ready again");
}

#[test]
fn unknown_requests_and_forged_answers_are_violations() {
    let mut ledger = new_ledger();
    assert_eq!(ledger.attempt_arrived(START, "unknown", SERVER), None);
    send(&mut ledger, START, "read", 0, 2.0);
    assert_eq!(ledger.attempt_arrived(START, "read", SERVER), Some(2.0));
    assert_eq!(violations(&ledger, "only what clients sent"), 1);
    ledger.answered(START, "read", ReceivedAnswer::Forged);
    assert_eq!(violations(&ledger, "only what clients sent"), 2);
}

/// What nodes of one kind did with 400 requests, of which every other one was rejected.
fn totals(messages: u64, wait: Duration) -> NodeTotals {
    let mut totals = NodeTotals::new().expect("waits can be counted");
    for number in 0..400 {
        let answer = if number % 2 == 0 { SERVED } else { REJECTED };
        totals.count(Some(answer), wait);
    }
    totals.messages = messages;
    totals.bytes = messages * 50;
    totals.cost = messages as f64;
    totals
}

#[test]
fn figures_that_differ_by_more_than_the_factor_and_chance_do_not_agree() {
    let problems = |real: &NodeTotals, hollow: &NodeTotals| {
        Report::new(real, hollow, 2.0, Vec::new()).problems()
    };
    let even = totals(1000, Duration::from_millis(50));
    assert!(problems(&even, &totals(1900, Duration::from_millis(90))).is_empty());
    assert_eq!(
        problems(&even, &totals(3000, Duration::from_millis(50))).len(),
        2,
        "messages and bytes"
    );
    assert_eq!(
        problems(&totals(1000, Duration::from_millis(150)), &even).len(),
        2,
        "both waits"
    );
    let mut failing = totals(1000, Duration::from_millis(50));
    for _ in 0..1200 {
        failing.count(Some(FAILED), Duration::ZERO);
    }
    failing.messages *= 4;
    failing.bytes *= 4;
    assert_eq!(
        problems(&even, &failing).len(),
        3,
        "served, rejected and failed"
    );
    let mut long = totals(1000, Duration::from_millis(50));
    long.too_long = 1;
    assert_eq!(
        problems(&even, &long).len(),
        1,
        "a datagram that is too long"
    );
    assert!(
        problems(
            &totals(0, Duration::from_millis(50)),
            &totals(0, Duration::from_millis(50))
        )
        .is_empty(),
        "neither kind sent a message"
    );
}

/// The edge node's program, as it was last built for release.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("this test's own path");
    let target = test.ancestors().nth(3).expect("a target folder");
    let program = target.join("release/edge-node");
    assert!(
        program.is_file(),
        "{} is missing: `cargo build --release` builds it",
        program.display()
    );
    program
}

fn run_command(arguments: &[&str]) -> Output {
    let program = program();
    let program = program.to_str().expect("a plain path");
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-lab"));
    command
        .args(["hybrid", "--program", program])
        .args(arguments)
        .output()
        .expect("it runs")
}

/// Makes a short run. Returns its figures, with which its exit status has to agree.
fn run(arguments: &[&str]) -> serde_json::Value {
    let file = tempfile::NamedTempFile::new().expect("a file");
    let path = file.path().to_str().expect("a plain path");
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
    let output = run_command(&[&size[..], arguments].concat());
    let said = String::from_utf8_lossy(&output.stderr);
    let text = std::fs::read_to_string(path).expect("figures");
    let report: serde_json::Value =
        serde_json::from_str(&text).unwrap_or_else(|_| panic!("no figures: {said}"));
    let differs = report["rows"]
        .as_array()
        .expect("rows")
        .iter()
        .any(|row| row["agrees"] == false);
    let is_violated = invariants(&report)
        .iter()
        .any(|invariant| invariant["broken"] != 0);
    assert_eq!(
        output.status.code(),
        Some(i32::from(differs || is_violated)),
        "{said}"
    );
    report
}

fn invariants(report: &serde_json::Value) -> &[serde_json::Value] {
    report["rules"].as_array().expect("rules")
}

fn assert_no_violation(report: &serde_json::Value) {
    for invariant in invariants(report) {
        assert_eq!(invariant["broken"], 0, "{invariant}");
    }
    assert!(report["requests"]
        .as_array()
        .expect("both")
        .iter()
        .all(|count| count.as_u64() > Some(0)));
}

/// The counts agree. Waits are not compared, as they depend on the machine that the test runs on.
fn assert_counts_agree(report: &serde_json::Value) {
    let rows = report["rows"].as_array().expect("rows").iter();
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
fn real_and_hollow_nodes_keep_the_invariants_together_and_agree() {
    let report = run(&["--seed", "7"]);
    assert_no_violation(&report);
    assert_counts_agree(&report);
    assert!(
        invariants(&report)
            .iter()
            .all(|invariant| invariant["looked_at"].as_u64() > Some(0)),
        "each invariant was checked: {report}"
    );
}

#[test]
fn quota_owners_of_a_large_fleet_are_nodes_of_either_kind() {
    let report = run(&["--seed", "8", "--fleet-size", "40"]);
    assert_no_violation(&report);
    assert_counts_agree(&report);
}

#[test]
fn an_unresponsive_server_leaves_no_request_without_an_answer() {
    let report = run(&["--seed", "9", "--trouble", "mute"]);
    assert_no_violation(&report);
    let is_on_idempotency = |result: &&serde_json::Value| {
        result["rule"]
            .as_str()
            .is_some_and(|name| name.contains("runs once"))
    };
    let idempotency = invariants(&report).iter().find(is_on_idempotency);
    let repeated = idempotency
        .and_then(|result| result["seen"].as_str())
        .expect("what ran again");
    let failed = report["rows"]
        .as_array()
        .expect("rows")
        .iter()
        .find(|row| row["what"] == "failed share");
    let failed = failed.expect("a share that failed");
    let some_failed = failed["real"]["value"] != 0.0 || failed["hollow"]["value"] != 0.0;
    assert!(
        some_failed || !repeated.starts_with("0 "),
        "the unresponsive server got requests: {report}"
    );
}

#[test]
fn invalid_arguments_end_with_status_2() {
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
        let output = run_command(arguments);
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {said}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
    }
    let missing = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .args(["hybrid", "--program", "/nowhere/edge-node"])
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&missing.stderr);
    assert_eq!(
        (missing.status.code(), said.lines().count()),
        (Some(2), 1),
        "{said}"
    );
}

#[test]
fn a_program_that_does_not_serve_fails_the_run() {
    let other = env!("CARGO_BIN_EXE_fleet-lab");
    let output = Command::new(other)
        .args(["hybrid", "--program", other, "--seconds", "1"])
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        (output.status.code(), said.lines().count()),
        (Some(1), 1),
        "{said}"
    );
    assert!(said.contains("does not listen"), "{said}");
}
