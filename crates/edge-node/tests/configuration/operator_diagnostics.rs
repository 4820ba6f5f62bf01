//! Diagnostics of operators' TOML, with their lines.

use super::support::*;
use super::{check_config, CheckResult, DiagnosticCase};

const NAME_AND_ADDRESS_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "name = \"edge-0\"",
        "name = 3",
        "name: must be a non-empty string",
    ),
    DiagnosticCase::new(
        "name = \"edge-0\"",
        "name = \"\"",
        "name: must be a non-empty string",
    ),
    DiagnosticCase::new(
        "127.0.0.1:8443",
        "127.0.0.1",
        "listen: must be an IP address",
    ),
    DiagnosticCase::new(
        "127.0.0.1:8500",
        "localhost:8500",
        "discovery: must be an IP address",
    ),
];

const LIMIT_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "file_descriptors = 1024",
        "file_descriptors = 63",
        "limits.file_descriptors: is 63, but must be from 64",
    ),
    DiagnosticCase::new(
        "file_descriptors = 1024",
        "file_descriptors = 1e3",
        "limits.file_descriptors: must be an integer",
    ),
    DiagnosticCase::new(
        "memory_mib = 192",
        "memory_mb = 192",
        "limits.memory_mb: unknown key; did you mean limits.memory_mib?",
    ),
    DiagnosticCase::new(
        "memory_mib = 192",
        "memory_mib = -1",
        "limits.memory_mib: is -1",
    ),
];

const FLEET_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "number = 0",
        "number = 3",
        "fleet.number: must be less than 3, the number of edge nodes",
    ),
    DiagnosticCase::new(
        "zone = \"block-a\"",
        "zone = \"block-d\"",
        "fleet.zone: must be one of block-a, block-b, block-c",
    ),
    DiagnosticCase::new(
        "zones = [",
        "zones = [1, ",
        "fleet.zones: must be a list of strings",
    ),
];

const PEER_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "\"127.0.0.3:7946\"",
        "\"x\"",
        "peers.addresses: must be a list of IP addresses",
    ),
    DiagnosticCase::new(
        "\"127.0.0.2:7946\", \"127.0.0.3:7946\"]",
        "\"127.0.0.2:7946\"]",
        "peers.addresses: has 2 addresses for 3 edge nodes",
    ),
    DiagnosticCase::new(
        "messages_per_s = 40",
        "messages_per_s = nan",
        "peers.messages_per_s: is NaN",
    ),
    DiagnosticCase::new(
        "messages_per_s = 40",
        "messages_per_s = 1979-05-27",
        "peers.messages_per_s: must be a number",
    ),
    DiagnosticCase::new(
        "messages_per_s = 40",
        "messages = 40",
        "peers.messages: unknown key; did you mean peers.messages_per_s?",
    ),
];

const REQUEST_AND_SERVER_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "max_attempts = 5",
        "max_attempts = 0",
        "requests.max_attempts: is 0, but must be from 1 to 100",
    ),
    DiagnosticCase::new(
        "cold_start_capacity = 0.27",
        "cold_start_capacity = 27",
        "servers.cold_start_capacity: is 27, but must be from 0 to 1",
    ),
    DiagnosticCase::new(
        "overload_window_ms = 3_000",
        "overload_window_ms = 3_600_001",
        "servers.overload_window_ms: is 3600001",
    ),
];

const CLASS_AND_PLAN_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "latency_target_ms = 1_000",
        "latency_target_ms = true",
        "classes[0].latency_target_ms: must be a number",
    ),
    DiagnosticCase::new(
        "repeat = \"never\"",
        "repeat = \"once\"",
        "classes[1].repeat: must be one of safe, idempotency_key, never",
    ),
    DiagnosticCase::new(
        "\"post-payment\"",
        "\"balance-read\"",
        "classes[1].name: duplicate name \"balance-read\"",
    ),
    DiagnosticCase::new(
        "\"premier\"",
        "\"basic\"",
        "plans[1].name: duplicate name \"basic\"",
    ),
    DiagnosticCase::new(
        "units_per_s = 50",
        "units_per_second = 50\nunits_per_s = 50",
        "plans[1].units_per_second: unknown key; did you mean plans[].units_per_s?",
    ),
];

const LOG_AND_UNKNOWN_KEY_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "[limits]",
        "log.level = \"loud\"\n[limits]",
        "log.level: must be one of off, error, warn, info, debug",
    ),
    DiagnosticCase::new(
        "[requests]",
        "[reqests]",
        "reqests: unknown key; did you mean requests?",
    ),
    DiagnosticCase::new("[limits]", "qqq = 1\n[limits]", "qqq: unknown key"),
];

const EXAMPLE_DIAGNOSTICS: [&[DiagnosticCase]; 7] = [
    NAME_AND_ADDRESS_DIAGNOSTICS,
    LIMIT_DIAGNOSTICS,
    FLEET_DIAGNOSTICS,
    PEER_DIAGNOSTICS,
    REQUEST_AND_SERVER_DIAGNOSTICS,
    CLASS_AND_PLAN_DIAGNOSTICS,
    LOG_AND_UNKNOWN_KEY_DIAGNOSTICS,
];

#[test]
fn invalid_value_is_reported_with_line_and_key() {
    for (number, case) in EXAMPLE_DIAGNOSTICS.into_iter().flatten().enumerate() {
        let CheckResult { is_valid, lines } =
            case.check(&format!("diagnostic-{number}.toml"), &example_config());
        let lines_before = example_config()
            .split(case.original)
            .next()
            .map_or(0, |text_before| text_before.matches('\n').count());
        let expected = format!("{}: {}", lines_before + 1, case.diagnostic);
        let is_reported = lines.iter().any(|line| line.starts_with(&expected));
        assert!(
            !is_valid && is_reported && lines.len() == 1,
            "{}: {lines:?}",
            case.replacement
        );
    }
}

#[test]
fn missing_required_keys_and_lists_are_reported() {
    for (line, expected) in [
        ("name = \"edge-0\"", "name: is missing"),
        ("gateways = 3", "fleet.gateways: is missing"),
        (
            "cold_start_ms = 16_000",
            "servers.cold_start_ms: is missing",
        ),
        ("value = 3", "classes[0].value: is missing"),
        ("burst_units = 10", "plans[0].burst_units: is missing"),
    ] {
        let CheckResult { is_valid, lines } =
            check_config("missing.toml", &example_config().replacen(line, "", 1));
        assert!(
            !is_valid && lines.len() == 1 && lines[0].ends_with(expected),
            "{line}: {lines:?}"
        );
    }
    let without_scope =
        example_config().replacen("repeat = \"never\"", "repeat = \"idempotency_key\"", 1);
    let lines = check_config("keyed.toml", &without_scope).lines;
    assert!(
        lines.len() == 1 && lines[0].contains("classes[1].idempotency_scope: is missing"),
        "{lines:?}"
    );
    let lines = check_config("none.toml", "").lines;
    for key in [
        "name",
        "listen",
        "discovery",
        "fleet.gateways",
        "servers.overload_factor",
        "classes",
        "plans",
    ] {
        assert!(
            lines.contains(&format!("{key}: is missing")),
            "{key}: {lines:?}"
        );
    }
    let before_plans = example_config()
        .split("[[plans]]")
        .next()
        .expect("text before the first plan")
        .to_owned();
    let lines = check_config(
        "list.toml",
        &format!("{before_plans}[plans]\nname = \"p\"\n"),
    )
    .lines;
    assert!(
        lines
            .iter()
            .any(|line| line.contains("plans: must be a list of tables")),
        "{lines:?}"
    );
}

#[test]
fn check_prints_all_diagnostics_and_serve_prints_one_line() {
    let config = example_config()
        .replacen("127.0.0.1:8443", "nowhere", 1)
        .replacen("max_attempts = 5", "max_attempts = \"5\"", 1)
        .replacen("units_per_s = 2.5", "units_per_s = -2.5", 1);
    let CheckResult { is_valid, lines } = check_config("several.toml", &config);
    assert!(!is_valid && lines.len() == 3, "{lines:?}");
    let path = write_config_file("serve-several.toml", &config);
    let output = edge_node_command(&[])
        .env("LB_CONFIG", &path)
        .output()
        .expect("edge node runs");
    let _ = std::fs::remove_file(&path);
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        (output.status.code(), error.lines().count()),
        (Some(1), 1),
        "{error}"
    );
    assert!(
        error.contains("listen") && error.contains("2 more"),
        "{error}"
    );
}
