//! Effect of configuration values on a running edge node: after a start, with environment
//! variables, and after a reload.

use super::support::*;
use std::process::Stdio;

/// Returns a request with a class and a plan of the example configuration.
fn example_request(id: &str, class: &str, units: &str, deadline: &str) -> String {
    let (method, body_header) = if class == "post-payment" {
        ("POST", "Content-Length: 4\r\n")
    } else {
        ("GET", "")
    };
    let body = if body_header.is_empty() { "" } else { "time" };
    format!(
        "{method} /{class}/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\n\
         X-Class: {class}\r\nX-Tier: premier\r\nX-Deadline: {deadline}\r\n\
         X-Call-Terms: units={units},spread=1,first=0\r\n{body_header}\r\n{body}"
    )
}

#[test]
fn edge_node_enforces_units_deadline_and_repeat_of_toml_config() {
    let servers = FakeServers::new();
    let discovery = FakeDiscovery::start(&[servers.start_returning_entry("s-1", &[RESPONDS_OK])]);
    let node = EdgeNode::start_with_toml("figures", &runnable_example_config(discovery.address));
    let status = |request: String| node.client().exchange(&request).status();
    for (id, class) in [("a", "balance-read"), ("b", "post-payment")] {
        assert_eq!(status(example_request(id, class, "8", "4000m")), 200);
        let remaining_ms = servers
            .next_request()
            .message
            .header("x-deadline")
            .trim_end_matches('m')
            .parse::<u64>();
        assert!(
            (1..=4000).contains(&remaining_ms.expect("X-Deadline is an integer")),
            "forwarded deadline must be in ms"
        );
    }
    assert_eq!(
        status(example_request("c", "balance-read", "9", "4000m")),
        400,
        "9 units exceed max_units = 8"
    );
    assert_eq!(
        status(example_request("d", "balance-read", "8", "4001m")),
        400,
        "4001 ms exceed deadline_ms = 4000"
    );
    assert_eq!(
        status(example_request("e", "post-payment", "8", "4000m").replace("POST", "GET")),
        400,
        "GET is invalid in a class with repeat = never"
    );
    servers.assert_no_more_requests();
}

#[test]
fn environment_variables_override_config_file() {
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
        .expect("edge node starts");
    let (request_line, _watch) = discovery.next_watch();
    assert!(request_line.contains("watch=1"));
    child.kill().expect("edge node is running");
    let output = child.wait_with_output().expect("edge node exits");
    let _ = std::fs::remove_file(&path);
    let output_text = String::from_utf8_lossy(&output.stderr);
    assert!(
        output_text
            .lines()
            .next()
            .is_some_and(|line| line.contains("other: listening on 127.0.0.1:")),
        "{output_text}"
    );
    let rejected = edge_node_command(&["serve", "--config", EXAMPLE_CONFIG_PATH])
        .env("LB_DISCOVERY", "x")
        .output()
        .expect("edge node runs");
    let output_text = String::from_utf8_lossy(&rejected.stderr);
    assert!(
        rejected.status.code() == Some(1)
            && output_text.contains("LB_DISCOVERY")
            && output_text.lines().count() == 1,
        "{output_text}"
    );
}

/// A reload applies a valid configuration completely and names the keys that require a restart. It
/// applies nothing of an invalid configuration.
#[test]
fn reload_applies_discovery_and_logs_keys_that_require_restart() {
    let old = FakeDiscovery::start(&[]);
    let new = FakeDiscovery::start(&[]);
    let mut node = EdgeNode::start_with_toml("hangup", &runnable_example_config(old.address));
    old.next_watch();
    let to_new = |text: String| text.replace(&old.address.to_string(), &new.address.to_string());
    // An invalid value of another key also keeps the old address of discovery.
    node.reload(|text| to_new(text).replacen("max_attempts = 5", "max_attempts = 0", 1));
    node.wait_for_log("configuration rejected, the current one stays in effect");
    node.reload(|text| {
        text.replacen("max_attempts = 0", "max_attempts = 4", 1)
            .replacen("units_per_s = 2.5", "units_per_s = 3.5", 1)
    });
    let reload_line = node.wait_for_log("reloaded");
    let expected_end = format!(
        "discovery at {}; restart required for: plans[].units_per_s, requests.max_attempts",
        new.address
    );
    assert!(reload_line.ends_with(&expected_end), "{reload_line}");
    new.next_watch();
    // The other keys have their values from the start again, so none requires a restart.
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
