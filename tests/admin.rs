//! The admin listener: what it reports, and that nothing sent to it affects the requests of clients.

mod support;

use serde_json::Value;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;
use support::*;

/// The example configuration with an admin listener and long request deadlines.
fn config(discovery: SocketAddr) -> String {
    with_grace(discovery, 20_000)
}

/// The same with another drain grace, half of which the first endpoint list is waited for.
fn with_grace(discovery: SocketAddr, millis: u32) -> String {
    std::fs::read_to_string("edge-node.example.toml")
        .expect("the example")
        .replace("127.0.0.1:8443", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &discovery.to_string())
        .replacen("listen = \"127.0.0.1:7946\"", "listen = \"127.0.0.1:0\"", 1)
        .replace("deadline_ms = 4_000", "deadline_ms = 60_000")
        .replace("drain_grace_ms = 500", &format!("drain_grace_ms = {millis}"))
        .replacen("[limits]", "admin.listen = \"127.0.0.1:0\"\n[limits]", 1)
}

/// A request under the example's classes and plans.
fn read(id: &str) -> String {
    request_text(id, "balance-read", "60000m")
        .replace("POST", "GET")
        .replace("Tier: p", "Tier: premier")
        .replace("Content-Length: 4\r\n\r\ntime", "\r\n")
}

fn admin(node: &EdgeNode) -> SocketAddr {
    let line = node.wait_for_log("admin listener on ");
    line.rsplit(' ').next().and_then(|word| word.parse().ok()).expect("an address")
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    stream
}

fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = connect(address);
    write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").expect("it is open");
    let answer = HttpMessage::read(&mut BufReader::new(stream)).expect("an answer");
    (answer.status(), String::from_utf8(answer.body).expect("it is text"))
}

/// The value of a time series.
fn figure(text: &str, series: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(series)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {series}: {text}")).parse().expect("a number")
}

/// Asks again until there is an answer.
fn until<T>(mut ask: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = ask() {
            return found;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "it never comes");
    }
}

#[test]
fn metrics_follow_requests_attempts_and_watches() {
    let servers = FakeServers::new();
    let hosts = [endpoint_entry(
        "s-1",
        servers.start("s-1", &[RESPONDS_OK, RESPONDS_OVERLOADED, RESPONDS_OK, ServerBehavior::NeverRespond]),
        1,
        "ready",
    )];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start_with_toml("figures", &config(discovery.address));
    let address = admin(&node);
    let (_, watch) = discovery.next_watch();
    let mut client = node.client();
    assert_eq!(client.exchange(&read("a")).status(), 200);
    assert_eq!(client.exchange(&read("b")).status(), 200, "after one that was full");
    for _ in 0..3 {
        drop(servers.next_request());
    }
    let mut leaves = node.client();
    leaves.send(&read("open"));
    servers.next_request();
    // A connection without an open request may be closed at any time; only the waiting client's stays.
    drop(client);
    let state = until(|| {
        let (status, state) = get(address, "/debug/state");
        assert_eq!(status, 200);
        let state: Value = serde_json::from_str(&state).expect("it is JSON");
        (state["connections"]["clients"] == 1).then_some(state)
    });
    assert_eq!(state["phase"], "serving");
    assert_eq!(state["open_requests"], 1);
    assert_eq!(state["oldest_requests"][0]["id"], "open");
    assert_eq!((&state["list"]["sequence"], &state["list"]["servers_ready"]), (&1.into(), &1.into()));
    drop(leaves);
    drop(watch);
    for _ in 0..3 {
        drop(discovery.next_watch());
    }
    // The metrics show when the client's disconnect has been noticed.
    let series = |class: &str, plan: &str, outcome: &str| {
        format!("edge_node_requests_total{{class=\"{class}\",plan=\"{plan}\",outcome=\"{outcome}\"}}")
    };
    let abandoned = series("balance-read", "premier", "abandoned");
    let text = until(|| {
        let (status, text) = get(address, "/metrics");
        assert_eq!(status, 200);
        let left = figure(&text, &abandoned) == 1.0 && figure(&text, "edge_node_client_connections") == 0.0;
        left.then_some(text)
    });
    assert_eq!(figure(&text, &series("balance-read", "premier", "served")), 2.0);
    assert_eq!(figure(&text, &series("post-payment", "basic", "refused")), 0.0);
    assert_eq!(figure(&text, "edge_node_attempts_total{outcome=\"ok\"}"), 2.0);
    assert_eq!(figure(&text, "edge_node_attempts_total{outcome=\"full\"}"), 1.0);
    let latency = "edge_node_request_duration_seconds_count{class=\"balance-read\"}";
    assert_eq!(figure(&text, latency), 2.0, "an abandoned request has no duration");
    // The last watch may have timed out by now, and so may those after it.
    let opened = 4 + discovery.unseen_watches();
    let resets = figure(&text, "edge_node_watch_resets_total");
    assert!(resets >= 3.0 && resets <= opened as f64, "{resets} resets of {opened} watches");
    assert_eq!(figure(&text, "edge_node_open_requests"), 0.0);
    assert!(figure(&text, "edge_node_open_descriptors") >= 8.0);
    assert!(figure(&text, "edge_node_datagrams_sent_total") >= 1.0);
    assert!(figure(&text, "edge_node_list_age_seconds") < 60.0);
    assert!(text.ends_with("# EOF\n"));
    for secret in ["b4d65521", "s-1", "\"a\""] {
        assert!(!text.contains(secret), "{secret} among the labels");
    }
}

#[test]
fn the_readiness_probe_follows_the_phase() {
    let servers = FakeServers::new();
    let hosts = [endpoint_entry("s-1", servers.start("s-1", &[ServerBehavior::NeverRespond]), 1, "ready")];
    let discovery = FakeDiscovery::silent();
    let mut node = EdgeNode::start_with_toml("ready", &with_grace(discovery.address, 3_000_000));
    let address = admin(&node);
    assert_eq!(get(address, "/readyz"), (503, "starting\n".to_owned()));
    assert_eq!(get(address, "/healthz").0, 200);
    let (_, mut watch) = discovery.next_watch();
    watch.write_all(WATCH_RESPONSE_HEAD.as_bytes()).expect("it is open");
    send_list(&mut watch, &endpoint_list(1, true, &hosts));
    node.wait_for_log("ready: ");
    assert_eq!(get(address, "/readyz"), (200, "serving\n".to_owned()));
    // An open request keeps the edge node in its shutdown until the deadline.
    node.client().send(&read("gone"));
    let mut client = node.client();
    client.send(&read("open"));
    while servers.next_request().message.header("x-request-id") != "open" {}
    node.terminate();
    node.wait_for_log("leaving on SIGTERM");
    let (status, phase) = get(address, "/readyz");
    assert!(status == 503 && ["leaving\n", "closing\n"].contains(&phase.as_str()), "{status} {phase}");
    assert!(node.is_running());
}

/// Malformed requests, slow clients and too many connections get 4xx or a close, and clients are served meanwhile.
#[test]
fn nothing_on_the_admin_port_affects_client_requests() {
    let servers = FakeServers::new();
    let hosts = [endpoint_entry("s-1", servers.start("s-1", &[RESPONDS_OK]), 1, "ready")];
    let discovery = FakeDiscovery::start(&hosts);
    let mut node = EdgeNode::start_with_toml("noise", &config(discovery.address));
    let address = admin(&node);
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(100_000));
    let noises: [&[u8]; 8] = [
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"\r\n\r\n\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET /metrics HTTP/9.9\r\n\r\n",
        b"POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 900000000\r\n\r\nx",
        b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /metrics HTTP/1.1\r\nHost: a",
        long.as_bytes(),
    ];
    let answers = noises.map(|noise| {
        let mut stream = connect(address);
        // The connection may have been answered and closed by then.
        let _ = stream.write_all(noise);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
        answer.split(' ').nth(1).unwrap_or("closed").to_owned()
    });
    assert_eq!((answers[4].as_str(), answers[5].as_str()), ("405", "404"));
    // More connections than may be open, all of them silent.
    let before = node.open_descriptors();
    let silent: Vec<_> = (0..40).map(|_| connect(address)).collect();
    let mut client = node.client();
    for number in 0..10 {
        assert_eq!(client.exchange(&read(&format!("r{number}"))).status(), 200);
    }
    // Eight of these, the client's own, and some to the server.
    assert!(node.open_descriptors() <= before + 20, "{} of {before}", node.open_descriptors());
    for mut stream in silent {
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 4"), "each is closed by the edge node");
    }
    assert_eq!(get(address, "/healthz"), (200, "ok\n".to_owned()));
    assert!(node.is_running());
}

#[test]
fn there_is_no_admin_listener_in_the_platforms_configuration() {
    let discovery = FakeDiscovery::start(&[]);
    let with = |config: String| config.replacen('{', r#"{"admin":{"listen":"127.0.0.1:0"},"#, 1);
    let mut node = EdgeNode::start_with("off", discovery.address, &[], with);
    node.wait_for_log("ready");
    node.terminate();
    assert!(node.wait().success());
    assert!(
        !node.remaining_log().iter().any(|line| line.contains("admin")),
        "the platform's form has no such key"
    );
}

#[test]
fn an_address_in_use_ends_the_start_with_one_plain_line() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address");
    let discovery = FakeDiscovery::start(&[]);
    let text = config(discovery.address).replacen(
        "admin.listen = \"127.0.0.1:0\"",
        &format!("admin.listen = \"{address}\""),
        1,
    );
    let path = write_config_file("taken.toml", &text);
    let output = edge_node_command(&["serve", "--config"]).arg(&path).output().expect("it runs");
    let _ = std::fs::remove_file(path);
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!((output.status.code(), error.lines().count()), (Some(1), 1), "{error}");
    assert!(error.contains(&format!("admin.listen {address}")), "{error}");
}

#[test]
fn the_page_lists_every_metric() {
    let discovery = FakeDiscovery::start(&[]);
    let node = EdgeNode::start_with_toml("page", &config(discovery.address));
    let (_, text) = get(admin(&node), "/metrics");
    let typed = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let mut coded: Vec<_> = typed.map(|line| line.replace(' ', "` | ")).collect();
    let page = std::fs::read_to_string("docs/OPERATING.md").expect("the page");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `edge_node_"));
    let first_two = |row: &str| row.split(" | ").take(2).collect::<Vec<_>>().join(" | ");
    let mut told: Vec<_> = rows.map(|row| format!("edge_node_{}", first_two(row))).collect();
    coded.sort();
    told.sort();
    assert!(coded.len() > 10);
    assert_eq!(coded, told);
}
