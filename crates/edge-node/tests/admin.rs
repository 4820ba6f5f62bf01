//! The admin listener: what it reports, and that nothing sent to it affects the requests of
//! clients.

mod support;

use serde_json::Value;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;
use support::*;

/// The example configuration with an admin listener and long request deadlines.
fn config(discovery: SocketAddr) -> String {
    config_with_drain_grace(discovery, 20_000)
}

/// The same with another drain grace, half of which the first endpoint list is waited for.
fn config_with_drain_grace(discovery: SocketAddr, millis: u32) -> String {
    runnable_example_config(discovery)
        .replace("deadline_ms = 4_000", "deadline_ms = 60_000")
        .replace(
            "drain_grace_ms = 500",
            &format!("drain_grace_ms = {millis}"),
        )
        .replacen("[limits]", "admin.listen = \"127.0.0.1:0\"\n[limits]", 1)
}

/// A request under the example's classes and plans.
fn read_request(id: &str) -> String {
    example_read_request(id, "60000m")
}

/// Where the admin listener of an edge node is.
fn admin_address(node: &EdgeNode) -> SocketAddr {
    let line = node.wait_for_log("admin listener on ");
    line.rsplit(' ')
        .next()
        .and_then(|word| word.parse().ok())
        .expect("an address")
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("it listens");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    stream
}

fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = connect(address);
    write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").expect("it is open");
    let answer = HttpMessage::read(&mut BufReader::new(stream)).expect("an answer");
    (
        answer.status(),
        String::from_utf8(answer.body).expect("it is text"),
    )
}

/// The body of an answer from the admin listener, whose status has to be 200.
fn get_ok(address: SocketAddr, path: &str) -> String {
    let (status, body) = get(address, path);
    assert_eq!(status, 200);
    body
}

/// The value of a time series in the text of the metrics.
fn metric_value(text: &str, series: &str) -> f64 {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(series)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {series}: {text}"))
        .parse()
        .expect("a number")
}

/// Polls until there is a value; fails after the timeout.
fn poll_until_some<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "it never comes");
    }
}

/// The series that counts the requests of a class and a plan with an outcome.
fn requests_total(class: &str, plan: &str, outcome: &str) -> String {
    format!("edge_node_requests_total{{class=\"{class}\",plan=\"{plan}\",outcome=\"{outcome}\"}}")
}

/// An edge node that has served two requests, the second one after a retry, and has a third one
/// open.
struct BusyNode {
    discovery: FakeDiscovery,
    /// The first watch, which is open.
    watch: TcpStream,
    /// The client of the open request.
    waiting_client: Client,
    admin_address: SocketAddr,
    _servers: FakeServers,
    _node: EdgeNode,
}

impl BusyNode {
    fn start(tag: &str) -> BusyNode {
        let servers = FakeServers::new();
        let behaviors = [
            RESPONDS_OK,
            RESPONDS_OVERLOADED,
            RESPONDS_OK,
            ServerBehavior::NeverRespond,
        ];
        let entries = [servers.start_returning_entry("s-1", &behaviors)];
        let discovery = FakeDiscovery::start(&entries);
        let node = EdgeNode::start_with_toml(tag, &config(discovery.address));
        let admin_address = admin_address(&node);
        let (_, watch) = discovery.next_watch();
        let mut client = node.client();
        assert_eq!(client.exchange(&read_request("a")).status(), 200);
        assert_eq!(
            client.exchange(&read_request("b")).status(),
            200,
            "after an attempt at an overloaded server"
        );
        for _ in 0..3 {
            drop(servers.next_request());
        }
        let mut waiting_client = node.client();
        waiting_client.send(&read_request("open"));
        servers.next_request();
        // A connection without an open request may be closed at any time; only the waiting client's
        // stays.
        drop(client);
        BusyNode {
            discovery,
            watch,
            waiting_client,
            admin_address,
            _servers: servers,
            _node: node,
        }
    }

    /// Waits until the edge node has noticed that its other client disconnected; returns its state.
    fn state_with_one_client(&self) -> Value {
        poll_until_some(|| {
            let state = get_ok(self.admin_address, "/debug/state");
            let state: Value = serde_json::from_str(&state).expect("it is JSON");
            (state["connections"]["clients"] == 1).then_some(state)
        })
    }
}

fn assert_state_shows_open_request(state: &Value) {
    assert_eq!(state["phase"], "serving");
    assert_eq!(state["open_requests"], 1);
    assert_eq!(state["oldest_requests"][0]["id"], "open");
    assert_eq!(
        (&state["list"]["sequence"], &state["list"]["servers_ready"]),
        (&1.into(), &1.into())
    );
}

/// Waits until the metrics show that all clients have disconnected, one of them before its answer.
fn metrics_after_disconnect(admin_address: SocketAddr) -> String {
    let abandoned = requests_total("balance-read", "premier", "abandoned");
    poll_until_some(|| {
        let text = get_ok(admin_address, "/metrics");
        let is_noticed = metric_value(&text, &abandoned) == 1.0
            && metric_value(&text, "edge_node_client_connections") == 0.0;
        is_noticed.then_some(text)
    })
}

fn assert_request_and_attempt_metrics(text: &str) {
    assert_eq!(
        metric_value(text, &requests_total("balance-read", "premier", "served")),
        2.0
    );
    assert_eq!(
        metric_value(text, &requests_total("post-payment", "basic", "refused")),
        0.0
    );
    assert_eq!(
        metric_value(text, "edge_node_attempts_total{outcome=\"ok\"}"),
        2.0
    );
    assert_eq!(
        metric_value(text, "edge_node_attempts_total{outcome=\"full\"}"),
        1.0
    );
    let latency = "edge_node_request_duration_seconds_count{class=\"balance-read\"}";
    assert_eq!(
        metric_value(text, latency),
        2.0,
        "an abandoned request has no duration"
    );
    assert_eq!(metric_value(text, "edge_node_open_requests"), 0.0);
}

fn assert_process_metrics(text: &str) {
    assert!(metric_value(text, "edge_node_open_descriptors") >= 8.0);
    assert!(metric_value(text, "edge_node_datagrams_sent_total") >= 1.0);
    assert!(metric_value(text, "edge_node_list_age_seconds") < 60.0);
}

/// The text has to be whole, and without identifiers of customers, servers and requests.
fn assert_whole_and_without_identifiers(text: &str) {
    assert!(text.ends_with("# EOF\n"));
    for identifier in ["b4d65521", "s-1", "\"a\""] {
        assert!(!text.contains(identifier), "{identifier} among the labels");
    }
}

#[test]
fn metrics_follow_requests_attempts_and_watches() {
    let busy = BusyNode::start("figures");
    assert_state_shows_open_request(&busy.state_with_one_client());
    drop(busy.waiting_client);
    drop(busy.watch);
    for _ in 0..3 {
        drop(busy.discovery.next_watch());
    }
    let text = metrics_after_disconnect(busy.admin_address);
    assert_request_and_attempt_metrics(&text);
    // The last watch may have timed out by now, and so may those after it.
    let opened = 4 + busy.discovery.unseen_watches();
    let resets = metric_value(&text, "edge_node_watch_resets_total");
    assert!(
        resets >= 3.0 && resets <= opened as f64,
        "{resets} resets of {opened} watches"
    );
    assert_process_metrics(&text);
    assert_whole_and_without_identifiers(&text);
}

#[test]
fn the_readiness_probe_follows_the_phase() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[ServerBehavior::NeverRespond])];
    let discovery = FakeDiscovery::silent();
    let mut node = EdgeNode::start_with_toml(
        "ready",
        &config_with_drain_grace(discovery.address, 3_000_000),
    );
    let address = admin_address(&node);
    assert_eq!(get(address, "/readyz"), (503, "starting\n".to_owned()));
    assert_eq!(get(address, "/healthz").0, 200);
    let (_, mut watch) = discovery.next_watch();
    watch
        .write_all(WATCH_RESPONSE_HEAD.as_bytes())
        .expect("it is open");
    send_list(&mut watch, &endpoint_list(1, true, &entries));
    node.wait_for_log("ready: ");
    assert_eq!(get(address, "/readyz"), (200, "serving\n".to_owned()));
    // An open request keeps the edge node in its shutdown until the deadline.
    node.client().send(&read_request("gone"));
    let mut client = node.client();
    client.send(&read_request("open"));
    while servers.next_request().message.header("x-request-id") != "open" {}
    node.terminate();
    node.wait_for_log("shutting down on SIGTERM");
    let (status, phase) = get(address, "/readyz");
    assert!(
        status == 503 && ["leaving\n", "closing\n"].contains(&phase.as_str()),
        "{status} {phase}"
    );
    assert!(node.is_running());
}

const TLS_CLIENT_HELLO: &[u8] = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03";
const EMPTY_LINES: &[u8] = b"\r\n\r\n\r\n\r\n";
const REQUEST_WITHOUT_PATH: &[u8] = b"GET\r\n\r\n";
const UNKNOWN_HTTP_VERSION: &[u8] = b"GET /metrics HTTP/9.9\r\n\r\n";
const POST_WITH_HUGE_LENGTH: &[u8] =
    b"POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 900000000\r\n\r\nx";
const UNKNOWN_PATH: &[u8] = b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n";
const UNFINISHED_HEAD: &[u8] = b"GET /metrics HTTP/1.1\r\nHost: a";

/// More connections than the admin listener keeps open.
const TOO_MANY_CONNECTIONS: usize = 40;
/// Descriptors that may be added meanwhile: eight of those connections, the client's own, and some
/// to the server.
const MAX_ADDED_DESCRIPTORS: usize = 20;

fn request_with_long_path() -> Vec<u8> {
    format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(100_000)).into_bytes()
}

/// Waits until the edge node closes a connection, with a 4xx answer or none; returns the status or
/// "closed".
fn final_status(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
    answer.split(' ').nth(1).unwrap_or("closed").to_owned()
}

/// Sends these bytes on a connection of their own.
fn status_after(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The connection may have been answered and closed by then.
    let _ = stream.write_all(bytes);
    final_status(stream)
}

fn send_malformed_requests(address: SocketAddr) {
    status_after(address, TLS_CLIENT_HELLO);
    status_after(address, EMPTY_LINES);
    status_after(address, REQUEST_WITHOUT_PATH);
    status_after(address, UNKNOWN_HTTP_VERSION);
    assert_eq!(status_after(address, POST_WITH_HUGE_LENGTH), "405");
    assert_eq!(status_after(address, UNKNOWN_PATH), "404");
    status_after(address, UNFINISHED_HEAD);
    status_after(address, &request_with_long_path());
}

/// Malformed requests, slow clients and too many connections get 4xx or a close, and clients are
/// served meanwhile.
#[test]
fn nothing_on_the_admin_port_affects_client_requests() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let mut node = EdgeNode::start_with_toml("noise", &config(discovery.address));
    let address = admin_address(&node);
    send_malformed_requests(address);
    let before = node.open_descriptors();
    let silent: Vec<_> = (0..TOO_MANY_CONNECTIONS)
        .map(|_| connect(address))
        .collect();
    let mut client = node.client();
    for number in 0..10 {
        assert_eq!(
            client
                .exchange(&read_request(&format!("r{number}")))
                .status(),
            200
        );
    }
    let after = node.open_descriptors();
    assert!(
        after <= before + MAX_ADDED_DESCRIPTORS,
        "{after} of {before}"
    );
    for stream in silent {
        final_status(stream);
    }
    assert_eq!(get(address, "/healthz"), (200, "ok\n".to_owned()));
    assert!(node.is_running());
}

#[test]
fn there_is_no_admin_listener_in_the_platforms_configuration() {
    let discovery = FakeDiscovery::start(&[]);
    let with = |config: String| config.replacen('{', r#"{"admin":{"listen":"127.0.0.1:0"},"#, 1);
    let mut node = EdgeNode::start_with_edited_config("off", discovery.address, &[], with);
    node.wait_for_log("ready");
    node.terminate();
    assert!(node.wait().success());
    assert!(
        !node
            .remaining_log()
            .iter()
            .any(|line| line.contains("admin")),
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
    let output = edge_node_command(&["serve", "--config"])
        .arg(&path)
        .output()
        .expect("it runs");
    let _ = std::fs::remove_file(path);
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        (output.status.code(), error.lines().count()),
        (Some(1), 1),
        "{error}"
    );
    assert!(
        error.contains(&format!("admin.listen {address}")),
        "{error}"
    );
}

#[test]
fn the_page_lists_every_metric() {
    let discovery = FakeDiscovery::start(&[]);
    let node = EdgeNode::start_with_toml("page", &config(discovery.address));
    let (_, text) = get(admin_address(&node), "/metrics");
    let typed = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let mut exposed: Vec<_> = typed.map(|line| line.replace(' ', "` | ")).collect();
    let page = std::fs::read_to_string("../../docs/OPERATING.md").expect("the page");
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `edge_node_"));
    let first_two = |row: &str| row.split(" | ").take(2).collect::<Vec<_>>().join(" | ");
    let mut documented: Vec<_> = rows
        .map(|row| format!("edge_node_{}", first_two(row)))
        .collect();
    exposed.sort();
    documented.sort();
    assert!(exposed.len() > 10);
    assert_eq!(exposed, documented);
}
