//! Tests of `fleet-lab simulate`: the same seed reproduces the report byte for byte, a fleet
//! without faults violates no invariant, and the invariant checker reports a gateway that violates
//! one on purpose.

#[path = "simulate/defective_module.rs"]
mod defective_module;

use defective_module::{Defect, DefectiveModule};
use fleet_lab::simulate::{
    simulate, ColdServer, Experiment, ExperimentConfig, ModuleResult, Report,
};
use fleet_lab::world::invariant::Invariant;
use fleet_lab::Failure;
use gateway_core::{Gateway, Settings};
use std::process::Command;

fn config(faults: &[&str]) -> ExperimentConfig {
    let faults = faults.iter().map(|name| (*name).to_owned()).collect();
    ExperimentConfig {
        nodes: 20,
        servers: Some(14),
        seconds: 12,
        seed: 5,
        load: 0.5,
        faults,
        settings: None,
    }
}

fn run_simulation(config: &ExperimentConfig, defect: Defect) -> Report {
    let experiment = Experiment::new(config).expect("valid experiment");
    let new_module = |seed, settings: Settings, now| -> ModuleResult {
        let gateway = Gateway::new(seed, settings.clone(), now)?;
        Ok(Box::new(DefectiveModule::new(gateway, settings, defect)))
    };
    simulate(&experiment, new_module, &mut |_| {}, &mut |_| {})
        .expect("simulation succeeds")
        .report
}

fn violation_count(report: &Report, invariant: Invariant) -> u64 {
    report
        .violations
        .get(&invariant)
        .map_or(0, |violations| violations.count)
}

// ---- Simulations ----

#[test]
fn same_seed_gives_identical_report_and_other_seed_a_different_report() {
    let all = [
        "burst", "hang", "slow", "drain", "kill", "cut", "silent", "cold", "restart",
    ];
    let text = |seed| {
        let report = run_simulation(
            &ExperimentConfig {
                seed,
                ..config(&all)
            },
            Defect::None,
        );
        report.to_string() + &serde_json::to_string(&report).expect("report serializes")
    };
    let first = text(5);
    assert!(first == text(5), "seed 5 gave two different reports");
    assert!(first != text(6), "seeds 5 and 6 gave identical reports");
}

#[test]
fn small_fleet_without_faults_serves_and_violates_no_invariant() {
    let report = run_simulation(&config(&["calm"]), Defect::None);
    assert!(report.violations.is_empty(), "{report}");
    let all = report.all;
    assert_eq!(
        all.arrived,
        all.served + all.late + all.rejected + all.failed + all.disconnected,
        "{all:?}"
    );
    assert!(
        all.served > 1_000 && all.gateway_killed + all.unreachable == 0,
        "{all:?}"
    );
    assert!(
        report.messages.mean_per_s > 1.0 && report.messages.lost > 0,
        "{:?}",
        report.messages
    );
}

#[test]
fn checker_reports_each_defect_under_the_violated_invariant() {
    let cases = [
        (Defect::SendToDrained, "drain", Invariant::Drain),
        (Defect::ExceedQuotas, "burst", Invariant::HardLimit),
        (Defect::OverloadColdServer, "cold", Invariant::ColdStart),
        (Defect::AnswerTwice, "burst", Invariant::AnsweredTwice),
        (Defect::RunTwice, "calm", Invariant::Idempotency),
        (Defect::NeverAnswer, "burst", Invariant::AnswerMissing),
        (Defect::SendLate, "burst", Invariant::SentAfterEnd),
    ];
    for (defect, fault, invariant) in cases {
        let sound = run_simulation(&config(&[fault]), Defect::None);
        let defective = run_simulation(&config(&[fault]), defect);
        assert_eq!(
            violation_count(&sound, invariant),
            0,
            "{invariant} without a defect\n{sound}"
        );
        assert!(
            violation_count(&defective, invariant) > 0,
            "{defect:?} was not reported as {invariant}\n{defective}"
        );
        if defect == Defect::ExceedQuotas {
            assert!(
                defective.over_quota_units > 4.0 * sound.over_quota_units,
                "units beyond quotas did not rise\n{defective}"
            );
        }
        if defect == Defect::OverloadColdServer {
            let is_overloaded =
                |cold: &ColdServer| cold.has_crashed && cold.load.calls > cold.load.budget;
            assert!(defective.cold_servers.iter().any(is_overloaded));
        }
    }
}

#[test]
fn killed_gateways_lose_their_requests_and_serve_again_after_restart() {
    let report = run_simulation(&config(&["kill"]), Defect::None);
    assert!(report.violations.is_empty(), "{report}");
    assert!(
        report.all.gateway_killed > 0 && report.all.unreachable > 0,
        "{report}"
    );
    let served = |range: std::ops::Range<usize>| -> u64 {
        report.seconds[range]
            .iter()
            .map(|second| second.requests.served)
            .sum()
    };
    assert!(served(4..6) < served(1..3), "{report}");
    assert!(served(10..12) > served(4..6), "{report}");
}

#[test]
fn attempt_at_draining_server_is_no_violation_while_drain_is_unknown() {
    // During the outage no gateway knows that servers drain, so an attempt at such a server is no
    // violation.
    let report = run_simulation(&config(&["silent"]), Defect::None);
    assert!(report.violations.is_empty(), "{report}");
    assert!(
        violation_count(
            &run_simulation(&config(&["silent"]), Defect::SendToDrained),
            Invariant::Drain
        ) > 0
    );
}

/// Guards against requests that run twice because a connection is established after the window of
/// their idempotency key: a retry is decided within the window, and written after it.
#[test]
fn late_connections_violate_no_invariant_only_with_write_deadlines() {
    let settings = include_str!("../src/simulate/settings.json")
        .replace(
            r#""repeat": "read_like""#,
            r#""group": "all", "repeat": "idempotency_key", "windowUs": 900000"#,
        )
        .replace(
            r#""cancel": true,"#,
            r#""cancel": true, "connectTimeoutUs": 1500000,"#,
        );
    let config = ExperimentConfig {
        settings: Some(settings),
        ..config(&["hang", "late"])
    };
    let sound = run_simulation(&config, Defect::None);
    assert!(sound.violations.is_empty(), "{sound}");
    let defective = run_simulation(&config, Defect::WriteLate);
    assert!(
        violation_count(&defective, Invariant::Idempotency) > 0,
        "{defective}"
    );
}

// ---- Arguments ----

#[test]
fn rejects_invalid_experiment_with_one_line() {
    let one_zone =
        include_str!("../src/simulate/settings.json").replace(r#""a", "b", "c""#, r#""a""#);
    let cases: [(ExperimentConfig, &str); 9] = [
        (
            ExperimentConfig {
                nodes: 0,
                ..config(&[])
            },
            "nodes",
        ),
        (
            ExperimentConfig {
                servers: Some(0),
                ..config(&[])
            },
            "servers",
        ),
        (
            ExperimentConfig {
                seconds: 0,
                ..config(&[])
            },
            "seconds",
        ),
        (
            ExperimentConfig {
                load: f64::NAN,
                ..config(&[])
            },
            "load",
        ),
        (config(&["storm"]), "storm"),
        (config(&["cut", "cut"]), "duplicate"),
        (config(&["calm", "cut"]), "calm"),
        (
            ExperimentConfig {
                settings: Some("[".to_owned()),
                ..config(&[])
            },
            "settings",
        ),
        (
            ExperimentConfig {
                settings: Some(one_zone),
                ..config(&["cut"])
            },
            "zones",
        ),
    ];
    for (config, expected_word) in cases {
        let Err(Failure::InvalidArguments(message)) = Experiment::new(&config) else {
            panic!("invalid experiment was accepted: {config:?}")
        };
        assert!(
            message.contains(expected_word) && !message.contains('\n'),
            "{message}"
        );
    }
}

#[test]
fn command_exits_with_status_2_and_one_line_on_invalid_arguments() {
    for invalid in [
        ["--trouble", "storm"],
        ["--fault", "storm"],
        ["--nodes", "0"],
        ["--settings", "no/such/file"],
        ["--json", "."],
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
            .arg("simulate")
            .args(invalid)
            .output()
            .expect("fleet-lab starts");
        let stderr = String::from_utf8(output.stderr).expect("standard error is UTF-8");
        assert_eq!(
            (output.status.code(), stderr.lines().count()),
            (Some(2), 1),
            "{invalid:?}: {stderr}"
        );
        assert!(output.stdout.is_empty());
    }
}

#[test]
fn command_writes_reproducible_report_and_plot() {
    let directory = std::env::temp_dir().join(format!("fleet-lab-simulate-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("create directory");
    let run_command = |name: &str| {
        let output_path = |extension: &str| directory.join(format!("{name}.{extension}"));
        let output = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
            .args([
                "simulate",
                "--nodes",
                "4",
                "--servers",
                "3",
                "--seconds",
                "3",
                "--trouble",
                "hang",
            ])
            .arg("--json")
            .arg(output_path("json"))
            .arg("--plot")
            .arg(output_path("svg"))
            .output()
            .expect("fleet-lab starts");
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        let read = |extension: &str| {
            std::fs::read_to_string(output_path(extension)).expect("read output file")
        };
        (output.stdout, read("json"), read("svg"))
    };
    let (first, second) = (run_command("first"), run_command("second"));
    std::fs::remove_dir_all(&directory).expect("remove directory");
    assert_eq!(first, second);
    let report: serde_json::Value = serde_json::from_str(&first.1).expect("report is JSON");
    assert!(
        report["all"]["served"].as_u64() > Some(10) && report.get("host").is_none(),
        "{report}"
    );
    assert!(first.2.contains("<svg") && first.2.contains("beyond quotas"));
}
