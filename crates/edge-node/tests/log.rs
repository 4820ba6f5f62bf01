//! The log: its events and formats, and that it never holds up the edge node.

mod support;

use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use support::*;

/// The example under this discovery, with these keys of the log.
fn config(discovery: &FakeDiscovery, log: &str) -> String {
    runnable_example_config(discovery.address).replacen(
        "[limits]",
        &format!("[log]\n{log}\n[limits]"),
        1,
    )
}

/// A request of the example's classes and plans.
fn read(id: &str) -> String {
    example_read_request(id, "4000m")
}

/// An event of a log in JSON.
struct LogEvent {
    name: String,
    fields: Value,
}

impl LogEvent {
    /// Parses a line, which has to have the fields that every event has.
    fn parse(line: &str) -> LogEvent {
        let fields: Value =
            serde_json::from_str(line).unwrap_or_else(|_| panic!("no JSON: {line}"));
        let text = |name: &str| {
            fields[name]
                .as_str()
                .unwrap_or_else(|| panic!("no {name}: {line}"))
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

/// A watch that has been open for longer counts as stable.
const STABLE_WATCH_TIME: Duration = Duration::from_millis(1200);

#[test]
fn each_event_that_an_operator_acts_on_has_a_line_and_requests_have_none() {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let mut node = EdgeNode::start_with_toml("life", &config(&discovery, ""));
    node.wait_for_log("endpoint list 1 applied: snapshot, 1 entries");
    node.wait_for_log("ready: endpoint list received from discovery");
    assert_eq!(node.client().exchange(&read("quiet-1")).status(), 200);
    // A slow machine may have made the edge node give up its first watch, and log that. Only the
    // loss of a watch that has been open for a second is logged again.
    std::thread::sleep(STABLE_WATCH_TIME);
    let (_, open_watch) = discovery.latest_watch();
    open_watch
        .shutdown(std::net::Shutdown::Both)
        .expect("it is open");
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
    let address = format!(
        "configuration reloaded: log level info, discovery at {}",
        discovery.address
    );
    node.wait_for_log(&address);
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
fn a_request_can_be_followed_by_its_id_once_the_level_is_debug() {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OVERLOADED, RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let mut node = EdgeNode::start_with_toml("debug", &config(&discovery, "format = \"json\""));
    assert_eq!(node.client().exchange(&read("unseen")).status(), 200);
    node.reload(|text| text.replacen("[log]", "[log]\nlevel = \"debug\"", 1));
    let reload_line = node.wait_for_log("reloaded");
    assert_eq!(node.client().exchange(&read("seen")).status(), 200);
    node.reload(|text| text.replacen("\"debug\"", "\"warn\"", 1));
    // At this level no line shows that the reload is done; the watch that it opens does.
    for _ in 0..3 {
        drop(discovery.next_watch());
    }
    assert_eq!(node.client().exchange(&read("hidden")).status(), 200);
    node.terminate();
    assert!(node.wait().success());
    let events: Vec<LogEvent> = node
        .remaining_log()
        .iter()
        .map(|line| LogEvent::parse(line))
        .collect();
    let of = |id: &str| -> Vec<&str> {
        let of_request = events.iter().filter(|event| event.fields["id"] == id);
        of_request.map(|event| event.name.as_str()).collect()
    };
    assert_eq!(
        of("seen"),
        [
            "request_received",
            "attempt_started",
            "attempt_finished",
            "request_answered"
        ]
    );
    assert_eq!((of("unseen").len(), of("hidden").len()), (0, 0));
    assert!(
        !events.iter().any(|event| event.name == "shutdown_complete"),
        "that is not of level warn"
    );
    let reloaded = LogEvent::parse(&reload_line);
    assert_eq!(reloaded.name, "config_reloaded");
    assert_eq!(reloaded.fields["level"], "INFO");
}

/// Text from outside cannot forge a line of the log.
#[test]
fn a_line_stays_one_line() {
    let discovery = FakeDiscovery::start(&[]);
    let path = write_config_file("forged.toml", &config(&discovery, ""));
    let mut child = edge_node_command(&["serve", "--config"])
        .arg(&path)
        .env("LB_NAME", "a\nb\x1b[31m")
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    let first = lines.next().expect("a line").expect("it is read");
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    let _ = std::fs::remove_file(&path);
    assert!(
        first.contains(r"a\nb\u{1b}[31m: listening on 127.0.0.1:"),
        "{first}"
    );
}

/// The reader of the log may end; the edge node goes on.
#[test]
fn the_log_needs_no_reader() {
    let discovery = FakeDiscovery::start(&[]);
    let path = write_config_file("unread.toml", &config(&discovery, ""));
    let mut child = edge_node_command(&["serve", "--config"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    drop(child.stderr.take());
    for _ in 0..3 {
        let (_, watch) = discovery.next_watch();
        // A watch that ends makes a line, and so does the signal; each opens the next watch.
        drop(watch);
        let (_, watch) = discovery.next_watch();
        let hangup = std::process::Command::new("kill")
            .args(["-HUP", &child.id().to_string()])
            .status();
        assert!(hangup.expect("kill runs").success());
        drop(watch);
    }
    assert!(
        child.try_wait().expect("its state is known").is_none(),
        "it has ended"
    );
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    let _ = std::fs::remove_file(&path);
}

/// All files below a directory, also those in directories of it.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("the code");
    let paths = entries.map(|entry| entry.expect("an entry").path());
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

/// The names of all log events in the program.
fn events_in_code() -> BTreeSet<String> {
    let mut in_code = BTreeSet::new();
    for file in source_files("src".as_ref()) {
        let text = std::fs::read_to_string(file).expect("it is text");
        let names = text
            .split("event = \"")
            .skip(1)
            .filter_map(|rest| rest.split('"').next());
        in_code.extend(names.map(str::to_owned));
    }
    in_code
}

/// Each event in the code stands on the page, and the other way round.
#[test]
fn the_page_documents_every_event() {
    let in_code = events_in_code();
    let page = std::fs::read_to_string("../../docs/OPERATING.md").expect("the page");
    let page = page
        .split("\n## ")
        .find(|part| part.starts_with("The log"))
        .expect("its part on the log");
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let documented = rows.filter(|name| *name != "event").map(str::to_owned);
    let at_debug = page
        .split("followed by its id:")
        .nth(1)
        .and_then(|rest| rest.split(", each").next());
    let words = at_debug
        .expect("events at debug")
        .split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned);
    let documented: BTreeSet<_> = documented.chain(words).collect();
    assert!(in_code.len() > 10);
    assert_eq!(in_code, documented);
}

/// Of each event that the page says was renamed, the code has the new name and not the old one.
#[test]
fn the_page_documents_the_earlier_name_of_each_renamed_event() {
    let in_code = events_in_code();
    let page = std::fs::read_to_string("../../docs/OPERATING.md").expect("the page");
    let page = page
        .split("\n## ")
        .find(|part| part.starts_with("Renamed log events"))
        .expect("its part");
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.strip_suffix("` |"));
    let renamed: Vec<_> = rows
        .map(|row| row.split_once("` | `").expect("two names"))
        .collect();
    assert_eq!(renamed.len(), 16);
    for (before, now) in renamed {
        assert!(!in_code.contains(before), "{before} is still logged");
        assert!(in_code.contains(now), "{now} is not logged");
    }
}
