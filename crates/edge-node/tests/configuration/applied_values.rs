//! How the values of a configuration reach the running edge node: at the start, from the
//! environment, at a reload.

use super::support::*;
use std::process::Stdio;

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
    let discovery = FakeDiscovery::start(&[servers.start_returning_entry("s-1", &[RESPONDS_OK])]);
    let node = EdgeNode::start_with_toml("figures", &runnable_example_config(discovery.address));
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
        &example_config().replacen("listen = \"127.0.0.1:7946\"", "listen = \"127.0.0.1:0\"", 1),
    );
    let mut child = edge_node_command(&["serve", "--config"])
        .arg(&path)
        .env("LB_NAME", "other")
        .env("LB_LISTEN", "127.0.0.1:0")
        .env("LB_DISCOVERY", discovery.address.to_string())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let (request_line, _watch) = discovery.next_watch();
    assert!(request_line.contains("watch=1"));
    child.kill().expect("it runs");
    let output = child.wait_with_output().expect("it ends");
    let _ = std::fs::remove_file(&path);
    let output_text = String::from_utf8_lossy(&output.stderr);
    assert!(
        output_text
            .lines()
            .next()
            .is_some_and(|line| line.contains("other: listening on 127.0.0.1:")),
        "{output_text}"
    );
    let bad = edge_node_command(&["serve", "--config", EXAMPLE_CONFIG_PATH])
        .env("LB_DISCOVERY", "x")
        .output()
        .expect("it runs");
    let output_text = String::from_utf8_lossy(&bad.stderr);
    assert!(
        bad.status.code() == Some(1)
            && output_text.contains("LB_DISCOVERY")
            && output_text.lines().count() == 1,
        "{output_text}"
    );
}

/// A new configuration is applied as a whole or not at all; the keys that require a restart are
/// named.
#[test]
fn sighup_applies_what_it_can_and_names_what_requires_a_restart() {
    let old = FakeDiscovery::start(&[]);
    let new = FakeDiscovery::start(&[]);
    let mut node = EdgeNode::start_with_toml("hangup", &runnable_example_config(old.address));
    old.next_watch();
    let to_new = |text: String| text.replace(&old.address.to_string(), &new.address.to_string());
    // An error elsewhere in the file leaves discovery where it is, too.
    node.reload(|text| to_new(text).replacen("max_attempts = 5", "max_attempts = 0", 1));
    node.wait_for_log("configuration rejected, the current one stays in effect");
    node.reload(|text| {
        text.replacen("max_attempts = 0", "max_attempts = 4", 1)
            .replacen("units_per_s = 2.5", "units_per_s = 3.5", 1)
    });
    let reload_line = node.wait_for_log("reloaded");
    let waits = format!(
        "discovery at {}; restart required for: plans[].units_per_s, requests.max_attempts",
        new.address
    );
    assert!(reload_line.ends_with(&waits), "{reload_line}");
    new.next_watch();
    // The file is as it was at the start, so nothing requires a restart any more.
    node.reload(|text| {
        text.replacen("max_attempts = 4", "max_attempts = 5", 1)
            .replacen("units_per_s = 3.5", "units_per_s = 2.5", 1)
    });
    let reload_line = node.wait_for_log("reloaded");
    assert!(
        reload_line.ends_with(&format!("discovery at {}", new.address)),
        "{reload_line}"
    );
    assert!(node.is_running());
}
