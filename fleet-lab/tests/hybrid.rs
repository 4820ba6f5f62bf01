//! `fleet-lab hybrid`: its rules on scripted runs, and short runs with the edge node's real program.

use edge_node::{CustomerId, GatewayId, Micros, ServerId};
use fleet_lab::hybrid::ledger::{Answer, Ledger, Quota, Rule, Try, LOST_AFTER, SLACK};
use fleet_lab::hybrid::report::{Report, Tally};
use std::path::PathBuf;
use std::process::{Command, Output};

const LENDER: CustomerId = CustomerId(7);
const SERVER: ServerId = ServerId(3);
const GRACE: Micros = 500_000;
const PATIENCE: Micros = 2_000_000;

/// One lender with ten units a second and twenty at once, and a doubt of five.
fn ledger() -> Ledger {
    let quota = Quota { rate: 10.0, burst: 20.0, doubt: 5.0, doubt_per_s: 0.0 };
    Ledger::new(0, GRACE, [(LENDER, quota)])
}

fn ask(ledger: &mut Ledger, now: Micros, id: &str, node: u32, units: f64) {
    let asked =
        Try { node: GatewayId(node), customer: LENDER, units, unsafe_to_repeat: true, patience: PATIENCE };
    ledger.asked(now, id.into(), asked);
}

fn broken(ledger: &Ledger, rule: &str) -> u64 {
    rule_of(ledger, rule).broken
}

fn rule_of(ledger: &Ledger, rule: &str) -> Rule {
    let rules = ledger.rules();
    rules.into_iter().find(|known| known.rule.contains(rule)).unwrap_or_else(|| panic!("a rule on {rule}"))
}

#[test]
fn a_quota_binds_over_all_nodes_and_doubt_is_all_that_passes_it() {
    let mut ledger = ledger();
    for (number, node) in [0, 1, 0, 1, 0].into_iter().enumerate() {
        let id = number.to_string();
        ask(&mut ledger, 0, &id, node, 5.0);
        ledger.arrived(0, &id, SERVER);
        // A further attempt of the same try takes nothing.
        ledger.arrived(0, &id, SERVER);
    }
    assert_eq!(rule_of(&ledger, "quotas").looked_at, 1);
    assert_eq!(broken(&ledger, "quotas"), 0, "the burst and the doubt");
    ask(&mut ledger, 100_000, "filled", 1, 1.0);
    ledger.arrived(100_000, "filled", SERVER);
    assert_eq!(broken(&ledger, "quotas"), 0, "what the rate has given meanwhile");
    ask(&mut ledger, 100_000, "over", 0, 0.5);
    assert_eq!(broken(&ledger, "quotas"), 0, "asked is not sent on");
    ledger.arrived(100_000, "over", SERVER);
    assert_eq!(broken(&ledger, "quotas"), 1);
}

#[test]
fn a_quota_saves_up_no_more_than_its_burst() {
    let mut ledger = ledger();
    let later = 3_600_000_000;
    ask(&mut ledger, later, "all", 0, 25.0);
    ledger.arrived(later, "all", SERVER);
    assert_eq!(broken(&ledger, "quotas"), 0);
    ask(&mut ledger, later, "more", 0, 0.1);
    ledger.arrived(later, "more", SERVER);
    assert_eq!(broken(&ledger, "quotas"), 1);
}

#[test]
fn each_request_gets_one_answer_in_time() {
    let mut ledger = ledger();
    let last = PATIENCE + LOST_AFTER;
    for (id, answers) in [("one", &[last][..]), ("none", &[]), ("two", &[1, 2]), ("late", &[last + 1])] {
        ask(&mut ledger, 0, id, 0, 1.0);
        answers.iter().for_each(|at| ledger.answered(*at, id, Answer::Failed));
    }
    let rule = rule_of(&ledger, "final answer");
    assert_eq!((rule.looked_at, rule.broken), (4, 3), "{}", rule.seen);
}

#[test]
fn what_is_unsafe_to_repeat_may_run_once() {
    let mut ledger = ledger();
    ask(&mut ledger, 0, "pay", 0, 1.0);
    ledger.ran("pay");
    assert_eq!(broken(&ledger, "unsafe"), 0);
    ledger.ran("pay");
    assert_eq!(broken(&ledger, "unsafe"), 1);
}

#[test]
fn nothing_new_may_go_to_a_server_after_the_grace() {
    let mut ledger = ledger();
    ledger.told(1000, GatewayId(0), SERVER, false);
    // What was told first counts.
    ledger.told(2000, GatewayId(0), SERVER, false);
    for (id, node, at) in [("last", 0, 1000), ("untold", 1, 9000), ("after", 0, 1001)] {
        ask(&mut ledger, 0, id, node, 1.0);
        ledger.arrived(at + GRACE + SLACK, id, SERVER);
    }
    let rule = rule_of(&ledger, "leaves");
    assert_eq!((rule.looked_at, rule.broken), (1, 1), "{}", rule.seen);
    ledger.told(3000, GatewayId(0), SERVER, true);
    ask(&mut ledger, 0, "back", 0, 1.0);
    ledger.arrived(u64::MAX / 2, "back", SERVER);
    assert_eq!(broken(&ledger, "leaves"), 1, "it is ready again");
}

#[test]
fn what_nobody_sent_and_what_no_server_made_is_told() {
    let mut ledger = ledger();
    assert_eq!(ledger.arrived(0, "unheard of", SERVER), None);
    ask(&mut ledger, 0, "read", 0, 2.0);
    assert_eq!(ledger.arrived(0, "read", SERVER), Some(2.0));
    assert_eq!(broken(&ledger, "only what clients sent"), 1);
    ledger.answered(0, "read", Answer::Forged);
    assert_eq!(broken(&ledger, "only what clients sent"), 2);
}

/// What a kind of node did with 400 requests: of each two, one is refused.
fn tally(messages: u64, wait: Micros) -> Tally {
    let mut tally = Tally::new().expect("waits can be counted");
    for number in 0..400 {
        let answer = if number % 2 == 0 { Answer::Served } else { Answer::Refused };
        tally.count(Some(answer), wait);
    }
    (tally.messages, tally.bytes, tally.cost) = (messages, messages * 50, messages as f64);
    tally
}

#[test]
fn kinds_that_differ_by_more_than_the_factor_and_chance_do_not_agree() {
    let faults = |real: &Tally, hollow: &Tally| Report::new(real, hollow, 2.0, Vec::new()).faults();
    let even = tally(1000, 50_000);
    assert!(faults(&even, &tally(1900, 90_000)).is_empty());
    assert_eq!(faults(&even, &tally(3000, 50_000)).len(), 2, "messages and bytes");
    assert_eq!(faults(&tally(1000, 150_000), &even).len(), 2, "both waits");
    let mut failing = tally(1000, 50_000);
    (0..1200).for_each(|_| failing.count(Some(Answer::Failed), 0));
    failing.messages *= 4;
    failing.bytes *= 4;
    assert_eq!(faults(&even, &failing).len(), 3, "served, refused and failed");
    let mut long = tally(1000, 50_000);
    long.too_long = 1;
    assert_eq!(faults(&even, &long).len(), 1, "a datagram that is too long");
    assert!(faults(&tally(0, 50_000), &tally(0, 50_000)).is_empty(), "nothing was said by either");
}

/// The edge node's program, as it was last built for release.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("this test's own path");
    let target = test.ancestors().nth(3).expect("a target folder");
    let program = target.join("release/edge-node");
    assert!(program.is_file(), "{} is missing: `cargo build --release` builds it", program.display());
    program
}

fn lab(arguments: &[&str]) -> Output {
    let program = program();
    let program = program.to_str().expect("a plain path");
    let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-lab"));
    command.args(["hybrid", "--program", program]).args(arguments).output().expect("it runs")
}

/// Plays a short run. Returns its figures; its exit status has to go with these.
fn play(arguments: &[&str]) -> serde_json::Value {
    let file = tempfile::NamedTempFile::new().expect("a file");
    let path = file.path().to_str().expect("a plain path");
    let size = ["--real", "2", "--hollow", "4", "--seconds", "3", "--within", "3", "--json", path];
    let output = lab(&[&size[..], arguments].concat());
    let said = String::from_utf8_lossy(&output.stderr);
    let text = std::fs::read_to_string(path).expect("figures");
    let report: serde_json::Value =
        serde_json::from_str(&text).unwrap_or_else(|_| panic!("no figures: {said}"));
    let apart = report["rows"].as_array().expect("rows").iter().any(|row| row["agrees"] == false);
    let broken = rules(&report).iter().any(|rule| rule["broken"] != 0);
    assert_eq!(output.status.code(), Some(i32::from(apart || broken)), "{said}");
    report
}

fn rules(report: &serde_json::Value) -> &[serde_json::Value] {
    report["rules"].as_array().expect("rules")
}

fn all_kept(report: &serde_json::Value) {
    for rule in rules(report) {
        assert_eq!(rule["broken"], 0, "{rule}");
    }
    assert!(report["requests"].as_array().expect("both").iter().all(|count| count.as_u64() > Some(0)));
}

/// What is counted agrees. Waits are not looked at: they tell of the machine that the test runs on.
fn counts_agree(report: &serde_json::Value) {
    let rows = report["rows"].as_array().expect("rows").iter();
    let counted = rows.filter(|row| row["what"].as_str().is_some_and(|what| !what.starts_with("wait")));
    let mut compared = 0;
    for row in counted {
        assert_ne!(row["agrees"], false, "{row}");
        compared += usize::from(row["agrees"] == true);
    }
    assert_eq!(compared, 5, "messages, bytes, served, refused and failed");
}

#[test]
fn real_and_hollow_nodes_keep_the_rules_together_and_agree() {
    let report = play(&["--seed", "7"]);
    all_kept(&report);
    counts_agree(&report);
    assert!(
        rules(&report).iter().all(|rule| rule["looked_at"].as_u64() > Some(0)),
        "each rule was tried: {report}"
    );
}

#[test]
fn homes_of_a_wide_fleet_lie_at_either_kind() {
    let report = play(&["--seed", "8", "--fleet-size", "40"]);
    all_kept(&report);
    counts_agree(&report);
}

#[test]
fn a_server_that_answers_nobody_leaves_no_request_without_an_answer() {
    let report = play(&["--seed", "9", "--trouble", "mute"]);
    all_kept(&report);
    let ran = rules(&report)
        .iter()
        .find(|rule| rule["rule"].as_str().is_some_and(|rule| rule.contains("runs once")));
    let again = ran.and_then(|rule| rule["seen"].as_str()).expect("what ran again");
    let failed = report["rows"].as_array().expect("rows").iter().find(|row| row["what"] == "failed share");
    let failed = failed.expect("a share that failed");
    let some = failed["real"]["value"] != 0.0 || failed["hollow"]["value"] != 0.0;
    assert!(some || !again.starts_with("0 "), "the mute server was met: {report}");
}

#[test]
fn senseless_arguments_are_told_in_one_line() {
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
    ] {
        let output = lab(arguments);
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {said}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
    }
    let missing = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .args(["hybrid", "--program", "/nowhere/edge-node"])
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&missing.stderr);
    assert_eq!((missing.status.code(), said.lines().count()), (Some(2), 1), "{said}");
}

#[test]
fn a_program_that_does_not_serve_fails_the_run() {
    let other = env!("CARGO_BIN_EXE_fleet-lab");
    let output =
        Command::new(other).args(["hybrid", "--program", other, "--seconds", "1"]).output().expect("it runs");
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!((output.status.code(), said.lines().count()), (Some(1), 1), "{said}");
    assert!(said.contains("does not listen"), "{said}");
}
