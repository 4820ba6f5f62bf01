//! The log: its events and formats, and that it never blocks or ends the edge node.

mod support;

use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use support::*;

/// Returns the example configuration with this discovery and these keys in the table `log`.
fn config(discovery: &FakeDiscovery, log_keys: &str) -> String {
    runnable_example_config(discovery.address).replacen(
        "[limits]",
        &format!("[log]\n{log_keys}\n[limits]"),
        1,
    )
}

/// Returns a request with this id for a class and a plan of the example configuration.
fn read_request(id: &str) -> String {
    example_read_request(id, "4000m")
}

/// An event in the JSON format of the log.
struct LogEvent {
    /// Value of the field `event`.
    name: String,
    fields: Value,
}

impl LogEvent {
    /// Parses a line; panics unless it has the fields that every event has.
    fn parse(line: &str) -> LogEvent {
        let fields: Value =
            serde_json::from_str(line).unwrap_or_else(|_| panic!("line is not JSON: {line}"));
        let text = |name: &str| {
            fields[name]
                .as_str()
                .unwrap_or_else(|| panic!("no string field {name}: {line}"))
        };
        assert!(
            ["INFO", "WARN", "ERROR", "DEBUG"].contains(&text("level")),
            "{line}"
        );
        assert!(
            text("timestamp").ends_with('Z') && !text("message").is_empty(),
            "{line}"
        );
        LogEvent {
            name: text("event").to_owned(),
            fields,
        }
    }
}

/// Duration that is longer than the time after which the edge node treats an open watch as stable.
const STABLE_WATCH_TIME: Duration = Duration::from_millis(1200);

#[test]
fn info_level_logs_operator_events_but_no_requests() {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let mut node = EdgeNode::start_with_toml("life", &config(&discovery, ""));
    node.wait_for_log("endpoint list 1 applied: snapshot, 1 entries");
    node.wait_for_log("ready: endpoint list received from discovery");
    assert_eq!(
        node.client().exchange(&read_request("quiet-1")).status(),
        200
    );
    // On a slow machine the edge node may already have lost its first watch and logged that. It
    // logs another loss only after a watch has been open for a second.
    std::thread::sleep(STABLE_WATCH_TIME);
    let (_, open_watch) = discovery.latest_watch();
    open_watch
        .shutdown(std::net::Shutdown::Both)
        .expect("connection is open");
    assert!(node.wait_for_log("discovery: ").contains("WARN"));
    discovery.next_watch();
    node.wait_for_log("discovery: watch restored");
    node.reload(|text| text.replacen("attempts = 5", "attempts = 0", 1));
    let rejection_line =
        node.wait_for_log("configuration rejected, the current one stays in effect");
    assert!(
        rejection_line.contains("ERROR") && rejection_line.contains("requests.max_attempts"),
        "{rejection_line}"
    );
    node.reload(|text| text.replacen("attempts = 0", "attempts = 5", 1));
    let reload_message = format!(
        "configuration reloaded: log level info, discovery at {}",
        discovery.address
    );
    node.wait_for_log(&reload_message);
    node.terminate();
    node.wait_for_log("shutting down on SIGTERM: 0 requests open");
    node.wait_for_log("shutdown complete: every client has its answer");
    assert!(node.wait().success());
    assert!(!node
        .remaining_log()
        .iter()
        .any(|line| line.contains("quiet-1")));
}

#[test]
fn debug_level_logs_each_step_of_a_request_with_its_id() {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OVERLOADED, RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let mut node = EdgeNode::start_with_toml("debug", &config(&discovery, "format = \"json\""));
    assert_eq!(
        node.client().exchange(&read_request("unseen")).status(),
        200
    );
    node.reload(|text| text.replacen("[log]", "[log]\nlevel = \"debug\"", 1));
    let reload_line = node.wait_for_log("reloaded");
    assert_eq!(node.client().exchange(&read_request("seen")).status(), 200);
    node.reload(|text| text.replacen("\"debug\"", "\"warn\"", 1));
    // At this level the reload is not logged. The watch that it opens shows that it is done.
    for _ in 0..3 {
        drop(discovery.next_watch());
    }
    assert_eq!(
        node.client().exchange(&read_request("hidden")).status(),
        200
    );
    node.terminate();
    assert!(node.wait().success());
    let events: Vec<LogEvent> = node
        .remaining_log()
        .iter()
        .map(|line| LogEvent::parse(line))
        .collect();
    let event_names = |id: &str| -> Vec<&str> {
        let request_events = events.iter().filter(|event| event.fields["id"] == id);
        request_events.map(|event| event.name.as_str()).collect()
    };
    assert_eq!(
        event_names("seen"),
        [
            "request_received",
            "attempt_started",
            "attempt_connected",
            "attempt_finished",
            "request_answered"
        ]
    );
    assert_eq!(
        (event_names("unseen").len(), event_names("hidden").len()),
        (0, 0)
    );
    assert!(
        !events.iter().any(|event| event.name == "shutdown_complete"),
        "a graceful shutdown is logged at level info"
    );
    let reloaded = LogEvent::parse(&reload_line);
    assert_eq!(reloaded.name, "config_reloaded");
    assert_eq!(reloaded.fields["level"], "INFO");
}

#[test]
fn debug_level_logs_why_an_attempt_failed() {
    let servers = FakeServers::new();
    let reset = ServerBehavior::RespondAndClose("");
    let hosts = [servers.start_returning_entry("s-1", &[reset, RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let keys = "format = \"json\"\nlevel = \"debug\"";
    let node = EdgeNode::start_with_toml("failed", &config(&discovery, keys));
    assert_eq!(node.client().exchange(&read_request("reset")).status(), 200);
    let failure = LogEvent::parse(&node.wait_for_log("attempt_failed"));
    assert_eq!(
        (&failure.fields["id"], &failure.fields["attempt"]),
        (&Value::from("reset"), &Value::from(0))
    );
    let cause = failure.fields["cause"].as_str().expect("a cause");
    let expected = "the exchange with the server failed: the connection was lost: ";
    assert!(cause.starts_with(expected), "{cause}");
}

/// Text from outside must not be able to forge a line of the log.
#[test]
fn control_characters_in_messages_are_escaped() {
    let discovery = FakeDiscovery::start(&[]);
    let path = write_config_file("forged.toml", &config(&discovery, ""));
    let mut child = edge_node_command(&["serve", "--config"])
        .arg(&path)
        .env("LB_NAME", "a\nb\x1b[31m")
        .stderr(Stdio::piped())
        .spawn()
        .expect("edge node starts");
    let mut lines = BufReader::new(child.stderr.take().expect("standard error is piped")).lines();
    let first_line = lines.next().expect("log line").expect("log is readable");
    child.kill().expect("edge node is running");
    child.wait().expect("edge node exits");
    let _ = std::fs::remove_file(&path);
    assert!(
        first_line.contains(r"a\nb\u{1b}[31m: listening on 127.0.0.1:"),
        "{first_line}"
    );
}

/// The process that reads the log may exit, which closes the pipe on standard error.
#[test]
fn edge_node_keeps_running_after_log_reader_exits() {
    let discovery = FakeDiscovery::start(&[]);
    let path = write_config_file("unread.toml", &config(&discovery, ""));
    let mut child = edge_node_command(&["serve", "--config"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("edge node starts");
    drop(child.stderr.take());
    for _ in 0..3 {
        let (_, watch) = discovery.next_watch();
        // The end of a watch is logged, and so is the reload; each causes a new watch.
        drop(watch);
        let (_, watch) = discovery.next_watch();
        let hangup = std::process::Command::new("kill")
            .args(["-HUP", &child.id().to_string()])
            .status();
        assert!(hangup.expect("kill command runs").success());
        drop(watch);
    }
    assert!(
        child.try_wait().expect("process status").is_none(),
        "the edge node has exited"
    );
    child.kill().expect("edge node is running");
    child.wait().expect("edge node exits");
    let _ = std::fs::remove_file(&path);
}

/// Returns all files in a directory and its subdirectories.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("directory is readable");
    let paths = entries.map(|entry| entry.expect("directory entry").path());
    paths
        .flat_map(|path| {
            if path.is_dir() {
                source_files(&path)
            } else {
                vec![path]
            }
        })
        .collect()
}

/// Returns the names of all log events in the source code.
fn events_in_code() -> BTreeSet<String> {
    let mut in_code = BTreeSet::new();
    for path in source_files("src".as_ref()) {
        let text = std::fs::read_to_string(path).expect("source file is UTF-8");
        let names = text
            .split("event = \"")
            .skip(1)
            .filter_map(|rest| rest.split('"').next());
        in_code.extend(names.map(str::to_owned));
    }
    in_code
}

/// Checks that `docs/OPERATING.md` documents each event in the code, and no other.
#[test]
fn operating_page_documents_every_event() {
    let in_code = events_in_code();
    let page =
        std::fs::read_to_string("../../docs/OPERATING.md").expect("docs/OPERATING.md is readable");
    let page = page
        .split("\n## ")
        .find(|section| section.starts_with("The log"))
        .expect("section \"The log\"");
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let documented = rows.filter(|name| *name != "event").map(str::to_owned);
    let debug_text = page
        .split("followed by its id:")
        .nth(1)
        .and_then(|rest| rest.split(", each").next());
    let debug_events = debug_text
        .expect("list of events at debug level")
        .split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned);
    let documented: BTreeSet<_> = documented.chain(debug_events).collect();
    assert!(in_code.len() > 10);
    assert_eq!(in_code, documented);
}

/// Checks that the code has the new name, and not the old name, of each event that
/// `docs/OPERATING.md` lists as renamed.
#[test]
fn renamed_events_have_their_new_names_in_code() {
    let in_code = events_in_code();
    let page =
        std::fs::read_to_string("../../docs/OPERATING.md").expect("docs/OPERATING.md is readable");
    let page = page
        .split("\n## ")
        .find(|section| section.starts_with("Renamed log events"))
        .expect("section \"Renamed log events\"");
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.strip_suffix("` |"));
    let renamed: Vec<_> = rows
        .map(|row| row.split_once("` | `").expect("old and new name"))
        .collect();
    assert_eq!(renamed.len(), 16);
    for (old_name, new_name) in renamed {
        assert!(!in_code.contains(old_name), "{old_name} is still logged");
        assert!(in_code.contains(new_name), "{new_name} is not logged");
    }
}
