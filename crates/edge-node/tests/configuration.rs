//! Configuration files: what is accepted, what is refused with which diagnostics, and what a reload does.

mod support;

use std::process::Stdio;
use support::*;

const EXAMPLE: &str = "../../edge-node.example.toml";

fn example() -> String {
    std::fs::read_to_string(EXAMPLE).expect("the example")
}

/// What `check` says of a configuration.
struct Checked {
    is_valid: bool,
    /// What it prints, line by line, without the file's name.
    lines: Vec<String>,
}

/// Runs `check` on a configuration in a file of that name.
fn check(name: &str, config: &str) -> Checked {
    let path = write_config_file(name, config);
    let output = edge_node_command(&["check"])
        .arg(&path)
        .stdin(Stdio::null())
        .output()
        .expect("it runs");
    let _ = std::fs::remove_file(&path);
    let printed = String::from_utf8([output.stdout, output.stderr].concat()).expect("it is text");
    let file = format!("{}:", path.display());
    let lines = printed.lines().filter_map(|line| line.strip_prefix(&file));
    let lines = lines.map(|line| line.trim_start().to_owned()).collect();
    Checked {
        is_valid: output.status.success(),
        lines,
    }
}

/// The number, from 1, of the first line that contains these words.
fn line_of(text: &str, words: &str) -> usize {
    1 + text
        .lines()
        .position(|line| line.contains(words))
        .expect("it is there")
}

#[test]
fn the_example_is_valid() {
    let Checked { is_valid, lines } = check("example.toml", &example());
    assert!(is_valid && lines == ["nothing is wrong"], "{lines:?}");
    // A file name without a known extension leaves the format to its content.
    assert!(check("example.conf", &example()).is_valid);
}

/// A replacement in a valid configuration that causes one diagnostic.
struct DiagnosticCase {
    original: &'static str,
    replacement: &'static str,
    /// How the diagnostic begins.
    diagnostic: &'static str,
}

impl DiagnosticCase {
    const fn new(
        original: &'static str,
        replacement: &'static str,
        diagnostic: &'static str,
    ) -> DiagnosticCase {
        DiagnosticCase {
            original,
            replacement,
            diagnostic,
        }
    }

    /// Checks the valid configuration after the replacement, in a file of that name.
    fn check(&self, file_name: &str, valid: &str) -> Checked {
        let config = valid.replacen(self.original, self.replacement, 1);
        assert_ne!(config, valid, "{}", self.original);
        check(file_name, &config)
    }
}

const NAME_AND_ADDRESS_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new("name = \"edge-0\"", "name = 3", "name: has to be a text"),
    DiagnosticCase::new(
        "name = \"edge-0\"",
        "name = \"\"",
        "name: has to be a text that is not empty",
    ),
    DiagnosticCase::new(
        "127.0.0.1:8443",
        "127.0.0.1",
        "listen: has to be an address",
    ),
    DiagnosticCase::new(
        "127.0.0.1:8500",
        "localhost:8500",
        "discovery: has to be an address",
    ),
];

const LIMIT_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "file_descriptors = 1024",
        "file_descriptors = 63",
        "limits.file_descriptors: is 63, and has to be from 64",
    ),
    DiagnosticCase::new(
        "file_descriptors = 1024",
        "file_descriptors = 1e3",
        "limits.file_descriptors: has to be a whole number",
    ),
    DiagnosticCase::new(
        "memory_mib = 192",
        "memory_mb = 192",
        "limits.memory_mb: no such key; the nearest known name is limits.memory_mib",
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
        "fleet.number: there are only the numbers below 3",
    ),
    DiagnosticCase::new(
        "zone = \"block-a\"",
        "zone = \"block-d\"",
        "fleet.zone: has to be one of block-a, block-b, block-c",
    ),
    DiagnosticCase::new(
        "zones = [",
        "zones = [1, ",
        "fleet.zones: has to be a list of texts",
    ),
];

const PEER_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "\"127.0.0.3:7946\"",
        "\"x\"",
        "peers.addresses: has to be a list of addresses",
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
        "peers.messages_per_s: has to be a number",
    ),
    DiagnosticCase::new(
        "messages_per_s = 40",
        "messages = 40",
        "peers.messages: no such key; the nearest known name is peers.messages_per_s",
    ),
];

const REQUEST_AND_SERVER_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "max_attempts = 5",
        "max_attempts = 0",
        "requests.max_attempts: is 0, and has to be from 1 to 100",
    ),
    DiagnosticCase::new(
        "cold_start_capacity = 0.27",
        "cold_start_capacity = 27",
        "servers.cold_start_capacity: is 27, and has to be from 0 to 1",
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
        "classes[0].latency_target_ms: has to be a number",
    ),
    DiagnosticCase::new(
        "repeat = \"never\"",
        "repeat = \"once\"",
        "classes[1].repeat: has to be one of safe, idempotency_key, never",
    ),
    DiagnosticCase::new(
        "\"post-payment\"",
        "\"balance-read\"",
        "classes[1].name: \"balance-read\" stands twice",
    ),
    DiagnosticCase::new(
        "\"premier\"",
        "\"basic\"",
        "plans[1].name: \"basic\" stands twice",
    ),
    DiagnosticCase::new(
        "units_per_s = 50",
        "units_per_second = 50\nunits_per_s = 50",
        "plans[1].units_per_second: no such key; the nearest known name is plans[].units_per_s",
    ),
];

const LOG_AND_UNKNOWN_KEY_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new(
        "[limits]",
        "log.level = \"loud\"\n[limits]",
        "log.level: has to be one of off, error, warn, info, debug",
    ),
    DiagnosticCase::new(
        "[requests]",
        "[reqests]",
        "reqests: no such key; the nearest known name is requests",
    ),
    DiagnosticCase::new("[limits]", "qqq = 1\n[limits]", "qqq: no such key"),
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
fn each_diagnostic_has_its_line_and_key() {
    for (number, case) in EXAMPLE_DIAGNOSTICS.into_iter().flatten().enumerate() {
        let Checked { is_valid, lines } =
            case.check(&format!("diagnostic-{number}.toml"), &example());
        let before = example()
            .split(case.original)
            .next()
            .map_or(0, |before| before.matches('\n').count());
        let expected = format!("{}: {}", before + 1, case.diagnostic);
        let is_reported = lines.iter().any(|line| line.starts_with(&expected));
        assert!(
            !is_valid && is_reported && lines.len() == 1,
            "{}: {lines:?}",
            case.replacement
        );
    }
}

#[test]
fn missing_keys_and_lists_are_reported() {
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
        let Checked { is_valid, lines } = check("missing.toml", &example().replacen(line, "", 1));
        assert!(
            !is_valid && lines.len() == 1 && lines[0].ends_with(expected),
            "{line}: {lines:?}"
        );
    }
    let keyed = example().replacen("repeat = \"never\"", "repeat = \"idempotency_key\"", 1);
    let lines = check("keyed.toml", &keyed).lines;
    assert!(
        lines.len() == 1 && lines[0].contains("classes[1].idempotency_scope: is missing"),
        "{lines:?}"
    );
    let lines = check("none.toml", "").lines;
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
    let before = example()
        .split("[[plans]]")
        .next()
        .expect("the part before")
        .to_owned();
    let lines = check("list.toml", &format!("{before}[plans]\nname = \"p\"\n")).lines;
    assert!(
        lines
            .iter()
            .any(|line| line.contains("plans: has to be a list of tables")),
        "{lines:?}"
    );
}

#[test]
fn check_reports_all_diagnostics_and_serve_one_line() {
    let config = example()
        .replacen("127.0.0.1:8443", "nowhere", 1)
        .replacen("max_attempts = 5", "max_attempts = \"5\"", 1)
        .replacen("units_per_s = 2.5", "units_per_s = -2.5", 1);
    let Checked { is_valid, lines } = check("several.toml", &config);
    assert!(!is_valid && lines.len() == 3, "{lines:?}");
    let path = write_config_file("serve-several.toml", &config);
    let output = edge_node_command(&[])
        .env("LB_CONFIG", &path)
        .output()
        .expect("it runs");
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

/// Text that is neither TOML nor JSON.
#[test]
fn syntax_errors_are_reported_with_their_line() {
    let config = example().replacen("gateways = 3", "gateways = = 3", 1);
    let Checked { is_valid, lines } = check("grammar.toml", &config);
    assert!(
        !is_valid && lines[0].starts_with(&format!("{}: ", line_of(&config, "= = 3"))),
        "{lines:?}"
    );
    let twice = example().replacen("number = 0", "number = 0\nnumber = 1", 1);
    let Checked { is_valid, lines } = check("twice.toml", &twice);
    assert!(
        !is_valid && lines[0].starts_with(&format!("{}: ", line_of(&twice, "number = 1"))),
        "{lines:?}"
    );
    let Checked { is_valid, lines } = check("grammar.json", "{\n\"name\": \"n0\",\n\"listen\": }");
    assert!(
        !is_valid && lines.len() == 1 && lines[0].starts_with("3: "),
        "{lines:?}"
    );
    let open = "[".repeat(20_000);
    let close = "]".repeat(20_000);
    for (name, deep) in [
        ("deep.toml", format!("name = {open}{close}")),
        ("open.json", open.clone()),
        ("deep.json", format!("{open}{close}")),
        (
            "deeper.json",
            PLATFORM.replacen("\"n3\"", &format!("{open}{close}"), 1),
        ),
    ] {
        let Checked { is_valid, lines } = check(name, &deep);
        assert!(!is_valid && lines.len() == 1, "{name}: {lines:?}");
    }
}

/// A configuration in the platform's JSON, which operators rarely write and now and then have to look into.
const PLATFORM: &str = r#"{
  "name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964", "odd": [{}],
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
  "peers": ["127.0.0.1:2", "127.0.0.1:3"], "peer_listen": null,
  "settings": {
    "balancers": 2, "me": 0, "zone": "a", "zones": ["a"], "periodUs": 2000, "discovery": "automatic",
    "ceilings": {"cancel": true, "mayTell": true, "sendCap": 4, "unheardOf": 1},
    "classes": [
      {"name": "read", "aimUs": 400000, "deadlineUs": 30000000, "worth": 3.0, "repeat": "read_like"},
      {"name": "pay", "aimUs": 400000, "deadlineUs": 30000000, "worth": 3.0, "repeat": "non_idempotent"}],
    "packages": [
      {"name": "p", "rate": 1.0, "storeSize": 1.0, "price": 1.0}],
    "rules": {"coldFrom": 0.2, "coldUs": 1000000, "fallMultiple": 3.0, "overloadForUs": 1000000}}}"#;

/// Each diagnostic begins with its line.
const PLATFORM_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new("127.0.0.1:0", "nowhere", "2: listen: has to be an address"),
    DiagnosticCase::new(
        "\"sockets\": 1024",
        "\"sockets\": 63",
        "3: limits.sockets: is 63, and has to be 64 or more",
    ),
    DiagnosticCase::new(
        "127.0.0.1:3",
        "x",
        "4: peers: has to be a list of addresses",
    ),
    DiagnosticCase::new(
        "\"me\": 0",
        "\"me\": 2",
        "6: settings.me: there are only the numbers below 2",
    ),
    DiagnosticCase::new(
        "\"periodUs\": 2000",
        "\"periodUs\": 2.5",
        "6: settings.periodUs: has to be a whole number",
    ),
    DiagnosticCase::new(
        "\"zone\": \"a\"",
        "\"zone\": \"b\"",
        "6: settings.zone: has to be one of a",
    ),
    DiagnosticCase::new(
        "\"automatic\"",
        "\"never\"",
        "6: settings.discovery: has to be one of automatic, subscribe",
    ),
    DiagnosticCase::new(
        "\"cancel\": true",
        "\"cancel\": 1",
        "7: settings.ceilings.cancel: has to be true or false",
    ),
    DiagnosticCase::new(
        "\"worth\": 3.0, \"repeat\": \"non",
        "\"repeat\": \"non",
        "10: settings.classes[1].worth: is missing",
    ),
    DiagnosticCase::new(
        "\"non_idempotent\"",
        "\"idempotency_key\"",
        "10: settings.classes[1].group: is missing",
    ),
    DiagnosticCase::new(
        "\"rate\": 1.0",
        "\"rate\": -1.0",
        "12: settings.packages[0].rate: is -1, and has to be 0 or more",
    ),
    DiagnosticCase::new(
        "\"name\": \"p\", ",
        "\"name\": \"p\", \"name\": \"q\", ",
        "12: settings.packages[0].name: stands twice",
    ),
];

#[test]
fn diagnostics_of_the_platform_s_json_have_its_own_names() {
    assert!(
        check("valid.json", PLATFORM).is_valid,
        "unknown keys are ignored there"
    );
    assert!(
        check("valid.conf", PLATFORM).is_valid,
        "its content shows its format"
    );
    for (number, case) in PLATFORM_DIAGNOSTICS.iter().enumerate() {
        let Checked { is_valid, lines } = case.check(&format!("platform-{number}.json"), PLATFORM);
        let is_reported = lines.len() == 1 && lines[0].starts_with(case.diagnostic);
        assert!(!is_valid && is_reported, "{}: {lines:?}", case.replacement);
    }
    let several = PLATFORM
        .replace("\"sendCap\": 4, ", "")
        .replace("\"name\": \"n3\"", "\"name\": []");
    assert_eq!(check("platform-several.json", &several).lines.len(), 2);
}

/// The example with free loopback ports.
fn served(discovery: &FakeDiscovery) -> String {
    example()
        .replace("127.0.0.1:8443", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &discovery.address.to_string())
        .replacen("listen = \"127.0.0.1:7946\"", "listen = \"127.0.0.1:0\"", 1)
}

/// A request of the example's classes and plans.
fn example_request(id: &str, class: &str, units: &str, deadline: &str) -> String {
    let (method, more) = if class == "post-payment" {
        ("POST", "Content-Length: 4\r\n")
    } else {
        ("GET", "")
    };
    let body = if more.is_empty() { "" } else { "time" };
    format!(
        "{method} /{class}/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\n\
         X-Class: {class}\r\nX-Tier: premier\r\nX-Deadline: {deadline}\r\n\
         X-Call-Terms: units={units},spread=1,first=0\r\n{more}\r\n{body}"
    )
}

#[test]
fn values_of_operators_files_reach_the_edge_node_in_its_own_units() {
    let servers = FakeServers::new();
    let discovery = FakeDiscovery::start(&[endpoint_entry(
        "s-1",
        servers.start("s-1", &[RESPONDS_OK]),
        1,
        "ready",
    )]);
    let node = EdgeNode::start_with_toml("figures", &served(&discovery));
    let status = |words: String| node.client().exchange(&words).status();
    for (id, class) in [("a", "balance-read"), ("b", "post-payment")] {
        assert_eq!(status(example_request(id, class, "8", "4000m")), 200);
        let left = servers
            .next_request()
            .message
            .header("x-deadline")
            .trim_end_matches('m')
            .parse::<u64>();
        assert!(
            (1..=4000).contains(&left.expect("a number")),
            "a deadline in the right unit"
        );
    }
    assert_eq!(
        status(example_request("c", "balance-read", "9", "4000m")),
        400,
        "max_units is 8"
    );
    assert_eq!(
        status(example_request("d", "balance-read", "8", "4001m")),
        400,
        "the longest deadline is 4 s"
    );
    assert_eq!(
        status(example_request("e", "post-payment", "8", "4000m").replace("POST", "GET")),
        400,
        "it is unsafe"
    );
    servers.assert_no_more_requests();
}

#[test]
fn the_environment_overrides_the_file() {
    let discovery = FakeDiscovery::start(&[]);
    let path = write_config_file(
        "overridden.toml",
        &example().replacen("listen = \"127.0.0.1:7946\"", "listen = \"127.0.0.1:0\"", 1),
    );
    let mut child = edge_node_command(&["serve", "--config"])
        .arg(&path)
        .env("LB_NAME", "other")
        .env("LB_LISTEN", "127.0.0.1:0")
        .env("LB_DISCOVERY", discovery.address.to_string())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let (asked, _watch) = discovery.next_watch();
    assert!(asked.contains("watch=1"));
    child.kill().expect("it runs");
    let output = child.wait_with_output().expect("it ends");
    let _ = std::fs::remove_file(&path);
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(
        said.lines()
            .next()
            .is_some_and(|line| line.contains("other: listening on 127.0.0.1:")),
        "{said}"
    );
    let bad = edge_node_command(&["serve", "--config", EXAMPLE])
        .env("LB_DISCOVERY", "x")
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&bad.stderr);
    assert!(
        bad.status.code() == Some(1) && said.contains("LB_DISCOVERY") && said.lines().count() == 1,
        "{said}"
    );
}

/// A new configuration is applied as a whole or not at all; the keys that require a restart are named.
#[test]
fn sighup_applies_what_it_can_and_names_what_requires_a_restart() {
    let old = FakeDiscovery::start(&[]);
    let new = FakeDiscovery::start(&[]);
    let mut node = EdgeNode::start_with_toml("hangup", &served(&old));
    old.next_watch();
    let to_new = |text: String| text.replace(&old.address.to_string(), &new.address.to_string());
    // An error elsewhere in the file leaves discovery where it is, too.
    node.reload(|text| to_new(text).replacen("max_attempts = 5", "max_attempts = 0", 1));
    node.wait_for_log("the old configuration stays");
    node.reload(|text| {
        text.replacen("max_attempts = 0", "max_attempts = 4", 1)
            .replacen("units_per_s = 2.5", "units_per_s = 3.5", 1)
    });
    let said = node.wait_for_log("reloaded");
    let waits = format!(
        "discovery at {}; waiting for a restart: plans[].units_per_s, requests.max_attempts",
        new.address
    );
    assert!(said.ends_with(&waits), "{said}");
    new.next_watch();
    // The file is as it was at the start, so nothing requires a restart any more.
    node.reload(|text| {
        text.replacen("max_attempts = 4", "max_attempts = 5", 1)
            .replacen("units_per_s = 3.5", "units_per_s = 2.5", 1)
    });
    let said = node.wait_for_log("reloaded");
    assert!(
        said.ends_with(&format!("discovery at {}", new.address)),
        "{said}"
    );
    assert!(node.is_running());
}

#[test]
fn the_page_and_the_program_have_the_same_keys() {
    let page = std::fs::read_to_string("../../docs/CONFIGURATION.md").expect("the page");
    let keys = edge_node_command(&["keys"]).output().expect("it runs");
    let keys = String::from_utf8(keys.stdout).expect("it is text");
    assert!(keys.lines().count() > 40);
    for row in keys.lines() {
        assert!(
            page.lines().any(|line| line == row),
            "docs/CONFIGURATION.md lacks: {row}"
        );
    }
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    // The first two lines are the table's header.
    let keys = keys.lines().count() - 2;
    assert_eq!(
        rows, keys,
        "docs/CONFIGURATION.md has a key that the program lacks"
    );
}
