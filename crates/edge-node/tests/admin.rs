//! The admin listener: its responses, and that its traffic does not affect client requests.

mod support;

use serde_json::Value;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;
use support::*;

/// Returns the example configuration with an admin listener, request deadlines of 60 s and a drain
/// grace of 20 s.
fn config(discovery: SocketAddr) -> String {
    config_with_drain_grace(discovery, 20_000)
}

/// Returns the configuration of [`config`] with another drain grace in milliseconds. The edge node
/// waits for the first endpoint list for half of that time.
fn config_with_drain_grace(discovery: SocketAddr, millis: u32) -> String {
    runnable_example_config(discovery)
        .replace("deadline_ms = 4_000", "deadline_ms = 60_000")
        .replace(
            "drain_grace_ms = 500",
            &format!("drain_grace_ms = {millis}"),
        )
        .replacen("[limits]", "admin.listen = \"127.0.0.1:0\"\n[limits]", 1)
}

/// Returns a request with this id for a class and a plan of the example configuration.
fn read_request(id: &str) -> String {
    example_read_request(id, "60000m")
}

/// Reads the address of an edge node's admin listener from its log.
fn admin_address(node: &EdgeNode) -> SocketAddr {
    let line = node.wait_for_log("admin listener on ");
    line.rsplit(' ')
        .next()
        .and_then(|word| word.parse().ok())
        .expect("address at the end of the line")
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("admin listener accepts the connection");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("read timeout is set");
    stream
}

/// Sends a GET request to the admin listener; returns the status and body of the response.
fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = connect(address);
    write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").expect("connection is open");
    let response = HttpMessage::read(&mut BufReader::new(stream)).expect("complete response");
    (
        response.status(),
        String::from_utf8(response.body).expect("body is UTF-8"),
    )
}

/// Sends a GET request to the admin listener and returns the body of the response; panics unless
/// the status is 200.
fn get_ok(address: SocketAddr, path: &str) -> String {
    let (status, body) = get(address, path);
    assert_eq!(status, 200);
    body
}

/// Returns the value of a time series in the metrics text; panics if there is no such series.
fn metric_value(text: &str, series: &str) -> f64 {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(series)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no time series {series}: {text}"))
        .parse()
        .expect("value is a number")
}

/// Polls until `poll` returns a value; panics after [`TEST_TIMEOUT`].
fn poll_until_some<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "no value before the timeout"
        );
    }
}

/// Returns the name and labels of the series that counts the requests of a class and a plan with an
/// outcome.
fn requests_total_series(class: &str, plan: &str, outcome: &str) -> String {
    format!("edge_node_requests_total{{class=\"{class}\",plan=\"{plan}\",outcome=\"{outcome}\"}}")
}

/// An edge node that has served one request at the first attempt and one after a retry, and has a
/// third request open.
struct BusyNode {
    discovery: FakeDiscovery,
    /// Connection of the first watch, which is open.
    watch: TcpStream,
    open_request_client: Client,
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
            "retry after an attempt at an overloaded server"
        );
        for _ in 0..3 {
            drop(servers.next_request());
        }
        let mut open_request_client = node.client();
        open_request_client.send(&read_request("open"));
        servers.next_request();
        // The edge node may close a connection without an open request at any time. After this
        // drop, only the connection of the open request remains.
        drop(client);
        BusyNode {
            discovery,
            watch,
            open_request_client,
            admin_address,
            _servers: servers,
            _node: node,
        }
    }

    /// Waits until the edge node has one client connection; returns the response of `/debug/state`.
    fn state_with_one_client(&self) -> Value {
        poll_until_some(|| {
            let state = get_ok(self.admin_address, "/debug/state");
            let state: Value = serde_json::from_str(&state).expect("body is JSON");
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

/// Waits until the metrics show no client connection and one abandoned request; returns their text.
fn metrics_after_disconnect(admin_address: SocketAddr) -> String {
    let abandoned = requests_total_series("balance-read", "premier", "abandoned");
    poll_until_some(|| {
        let text = get_ok(admin_address, "/metrics");
        let is_recorded = metric_value(&text, &abandoned) == 1.0
            && metric_value(&text, "edge_node_client_connections") == 0.0;
        is_recorded.then_some(text)
    })
}

fn assert_request_and_attempt_metrics(text: &str) {
    assert_eq!(
        metric_value(
            text,
            &requests_total_series("balance-read", "premier", "served")
        ),
        2.0
    );
    assert_eq!(
        metric_value(
            text,
            &requests_total_series("post-payment", "basic", "refused")
        ),
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
    let duration_count = "edge_node_request_duration_seconds_count{class=\"balance-read\"}";
    assert_eq!(
        metric_value(text, duration_count),
        2.0,
        "the duration of the abandoned request is not recorded"
    );
    assert_eq!(metric_value(text, "edge_node_open_requests"), 0.0);
}

fn assert_process_metrics(text: &str) {
    assert!(metric_value(text, "edge_node_open_descriptors") >= 8.0);
    assert!(metric_value(text, "edge_node_resident_memory_bytes") >= 1_000_000.0);
    assert_eq!(metric_value(text, "edge_node_request_body_bytes"), 0.0);
    assert_eq!(metric_value(text, "edge_node_response_body_bytes"), 0.0);
    assert!(metric_value(text, "edge_node_datagrams_sent_total") >= 1.0);
    assert!(metric_value(text, "edge_node_list_age_seconds") < 60.0);
}

/// Asserts that the metrics text is complete and contains no identifier of a customer, server or
/// request.
fn assert_complete_and_without_identifiers(text: &str) {
    assert!(text.ends_with("# EOF\n"));
    for identifier in ["b4d65521", "s-1", "\"a\""] {
        assert!(!text.contains(identifier), "{identifier} in the metrics");
    }
}

#[test]
fn metrics_count_requests_attempts_and_watch_resets() {
    let busy = BusyNode::start("figures");
    assert_state_shows_open_request(&busy.state_with_one_client());
    drop(busy.open_request_client);
    drop(busy.watch);
    for _ in 0..3 {
        drop(busy.discovery.next_watch());
    }
    let text = metrics_after_disconnect(busy.admin_address);
    assert_request_and_attempt_metrics(&text);
    // The newest watch may have timed out in the meantime, as may the watches opened after it.
    let opened = 4 + busy.discovery.unseen_watches();
    let resets = metric_value(&text, "edge_node_watch_resets_total");
    assert!(
        resets >= 3.0 && resets <= opened as f64,
        "{resets} resets of {opened} watches"
    );
    assert_process_metrics(&text);
    assert_complete_and_without_identifiers(&text);
}

#[test]
fn readiness_probe_reports_each_phase() {
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
        .expect("connection is open");
    send_list(&mut watch, &endpoint_list(1, true, &entries));
    node.wait_for_log("ready: ");
    assert_eq!(get(address, "/readyz"), (200, "serving\n".to_owned()));
    // The open request keeps the shutdown waiting until the request's deadline.
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

/// Number of silent connections, more than the admin listener keeps open.
const SILENT_CONNECTIONS: usize = 40;
/// Maximum number of descriptors that the edge node may open for these and for client requests:
/// eight admin connections, one client connection, and some connections to the server.
const MAX_ADDED_DESCRIPTORS: usize = 20;

fn request_with_long_path() -> Vec<u8> {
    format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(100_000)).into_bytes()
}

/// Waits until the edge node closes a connection; returns the status code of the response, or
/// "closed" if there was none. Panics if the status is not 4xx.
fn final_status(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response);
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 4"),
        "{response}"
    );
    response.split(' ').nth(1).unwrap_or("closed").to_owned()
}

/// Sends bytes on a new connection; returns its final status as [`final_status`] does.
fn status_after(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The write may fail, as the edge node may respond and close the connection before it ends.
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

/// The admin listener answers malformed requests, silent clients and too many connections with a
/// 4xx status or closes the connection. Client requests are served at the same time.
#[test]
fn malformed_and_excess_admin_connections_do_not_affect_client_requests() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let mut node = EdgeNode::start_with_toml("noise", &config(discovery.address));
    let address = admin_address(&node);
    send_malformed_requests(address);
    let descriptors_before = node.open_descriptors();
    let silent_connections: Vec<_> = (0..SILENT_CONNECTIONS).map(|_| connect(address)).collect();
    let mut client = node.client();
    for number in 0..10 {
        assert_eq!(
            client
                .exchange(&read_request(&format!("r{number}")))
                .status(),
            200
        );
    }
    let descriptors_after = node.open_descriptors();
    assert!(
        descriptors_after <= descriptors_before + MAX_ADDED_DESCRIPTORS,
        "{descriptors_after} descriptors, {descriptors_before} before"
    );
    for stream in silent_connections {
        final_status(stream);
    }
    assert_eq!(get(address, "/healthz"), (200, "ok\n".to_owned()));
    assert!(node.is_running());
}

#[test]
fn platform_configuration_cannot_enable_admin_listener() {
    let discovery = FakeDiscovery::start(&[]);
    let with_admin_key =
        |config: String| config.replacen('{', r#"{"admin":{"listen":"127.0.0.1:0"},"#, 1);
    let mut node =
        EdgeNode::start_with_edited_config("off", discovery.address, &[], with_admin_key);
    node.wait_for_log("ready");
    node.terminate();
    assert!(node.wait().success());
    assert!(
        !node
            .remaining_log()
            .iter()
            .any(|line| line.contains("admin")),
        "the platform's JSON format has no key for the admin listener"
    );
}

#[test]
fn admin_address_in_use_fails_startup_with_one_error_line() {
    let occupying_listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = occupying_listener.local_addr().expect("local address");
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
        .expect("edge node runs");
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
fn operating_page_lists_every_metric() {
    let discovery = FakeDiscovery::start(&[]);
    let node = EdgeNode::start_with_toml("page", &config(discovery.address));
    let (_, text) = get(admin_address(&node), "/metrics");
    let type_lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let mut exposed: Vec<_> = type_lines.map(|line| line.replace(' ', "` | ")).collect();
    let page =
        std::fs::read_to_string("../../docs/OPERATING.md").expect("docs/OPERATING.md is readable");
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `edge_node_"));
    let name_and_type = |row: &str| row.split(" | ").take(2).collect::<Vec<_>>().join(" | ");
    let mut documented: Vec<_> = rows
        .map(|row| format!("edge_node_{}", name_and_type(row)))
        .collect();
    exposed.sort();
    documented.sort();
    assert!(exposed.len() > 10);
    assert_eq!(exposed, documented);
}
