//! Shutdown on SIGTERM while clients keep sending requests. For each request, the client receives
//! the final answer or its connection is closed. Each request that was forwarded to a server is
//! answered, and so is the first request of each client that connects before the listener is
//! closed.

use super::body_memory::long_response;
use super::start_with_one_server;
use super::support::*;
use std::io::Write;
use std::time::{Duration, Instant};

/// Duration that is longer than the drain period of 600 ms, in which connections are accepted and
/// idle connections stay open.
const LONGER_THAN_DRAIN_PERIOD: Duration = Duration::from_millis(900);
/// Request of a readiness probe, which the edge node answers with 200 until it shuts down.
const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Sends SIGTERM and waits until the readiness probe fails.
fn start_shutdown(node: &EdgeNode) {
    node.terminate();
    while node.client().exchange(READINESS_REQUEST).status() == 200 {}
}

/// Requests arrive while the edge node closes its connections: on idle connections, on connections
/// that are not used yet, and on connections that are still in the listen backlog.
#[test]
fn requests_arriving_while_connections_are_closed_are_answered() {
    let (servers, _discovery, mut node) = start_with_one_server("s-moment", &[RESPONDS_OK]);
    let mut clients: Vec<(String, Client)> = Vec::new();
    for number in 0..20 {
        let tag = if number < 10 { "idle" } else { "unused" };
        let mut client = node.client();
        if tag == "idle" {
            assert_eq!(client.exchange(READINESS_REQUEST).status(), 200);
        }
        clients.push((format!("{tag}-{number}"), client));
    }
    start_shutdown(&node);
    node.suspend();
    clients.extend((0..20).map(|number| (format!("new-{number}"), node.client())));
    for (id, client) in &mut clients {
        client.send(&request_text(id, "pay", "3000m"));
    }
    std::thread::sleep(LONGER_THAN_DRAIN_PERIOD);
    node.resume();
    for (id, client) in &mut clients {
        let answer = client
            .read_response()
            .map(|answer| (answer.status(), answer.header("connection").to_owned()));
        assert_eq!(answer, Some((200, "close".to_owned())), "{id}");
        client.assert_closed();
    }
    assert!(node.wait().success());
    assert_eq!(servers.unseen_requests().len(), clients.len());
}

/// Requests arrive while the edge node closes its connections, on more connections than the process
/// may have file descriptors.
#[test]
fn requests_on_more_connections_than_descriptors_are_answered_during_shutdown() {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let mut node = EdgeNode::start_with_descriptor_limit("s-many", discovery.address, &hosts, 64);
    start_shutdown(&node);
    node.suspend();
    let mut clients: Vec<_> = (0..100).map(|_| node.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&request_text(&format!("new-{number}"), "pay", "20000m"));
    }
    std::thread::sleep(LONGER_THAN_DRAIN_PERIOD);
    node.resume();
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client.read_response().map(|answer| answer.status()),
            Some(200),
            "{number}"
        );
    }
    assert!(node.wait().success());
    assert_eq!(servers.unseen_requests().len(), clients.len());
}

/// Guards against connections in the backlog that are reset without an answer because one accept
/// has failed for a moment.
#[test]
fn requests_in_backlog_are_answered_during_shutdown_if_accepts_fail() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let library = PreloadedLibrary::failing_accept();
    let mut node = EdgeNode::start_with_preloaded_library(
        "s-accept",
        discovery.address,
        &entries,
        library.path(),
    );
    start_shutdown(&node);
    node.suspend();
    let mut clients: Vec<_> = (0..10).map(|_| node.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&request_text(&format!("new-{number}"), "pay", "20000m"));
    }
    std::thread::sleep(LONGER_THAN_DRAIN_PERIOD);
    node.resume();
    for (number, client) in clients.iter_mut().enumerate() {
        let status = client.read_response().map(|answer| answer.status());
        assert_eq!(status, Some(200), "{number}");
    }
    assert!(node.wait().success());
}

/// A client has an open request and pipelines two further requests: one during the drain period and
/// one after idle connections are closed. The open request is answered, and neither of the others
/// is forwarded.
#[test]
fn requests_pipelined_behind_open_request_are_not_forwarded_during_shutdown() {
    let (servers, _discovery, mut node) =
        start_with_one_server("s-behind", &[ServerBehavior::NeverRespond, RESPONDS_OK]);
    let mut client = node.client();
    client.send(&request_text("a", "pay", "20000m"));
    let mut received = servers.next_request();
    start_shutdown(&node);
    client.send(&request_text("b", "pay", "20000m"));
    std::thread::sleep(LONGER_THAN_DRAIN_PERIOD);
    client.send(&request_text("c", "pay", "20000m"));
    received
        .stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("attempt is still in flight");
    let answer = client.read_response().expect("final answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    // The pipelined requests get no answer. The close of the connection tells the client that they
    // were not processed.
    client.assert_closed();
    assert!(node.wait().success());
    servers.assert_no_more_requests();
}

/// Time after the start of shutdown at which the first part of a request is sent, well before idle
/// connections are closed at 600 ms.
const FIRST_PART_DELAY: Duration = Duration::from_millis(300);
/// Time between the first part of a request and the rest. The rest is sent after idle connections
/// are closed, and within the time in which a request must be complete.
const REST_DELAY: Duration = Duration::from_millis(450);

/// If only part of a request has arrived when idle connections are closed, the rest is still read
/// and the request is answered.
#[test]
fn incomplete_request_is_read_and_answered_when_connections_are_closed() {
    let (servers, _discovery, mut node) = start_with_one_server("s-begun", &[RESPONDS_OK]);
    let request = request_text("a", "pay", "20000m");
    let part_lengths = [1, request.len() / 2, request.len() - 4, request.len() - 1];
    let mut clients: Vec<_> = part_lengths
        .iter()
        .map(|length| (*length, node.client()))
        .collect();
    start_shutdown(&node);
    std::thread::sleep(FIRST_PART_DELAY);
    for (length, client) in &mut clients {
        client.send(
            &request.replace(
                "Id: a",
                &format!("Id: {}", char::from(b'a' + (*length % 26) as u8)),
            )[..*length],
        );
    }
    std::thread::sleep(REST_DELAY);
    for (length, client) in &mut clients {
        client.send(
            &request.replace(
                "Id: a",
                &format!("Id: {}", char::from(b'a' + (*length % 26) as u8)),
            )[*length..],
        );
    }
    for (length, client) in &mut clients {
        assert_eq!(
            client.read_response().map(|answer| answer.status()),
            Some(200),
            "first part of {length} bytes"
        );
    }
    assert!(node.wait().success());
    assert_eq!(servers.unseen_requests().len(), part_lengths.len());
}

/// Guards against a part of a request that is closed without an answer because an earlier request
/// on its connection was answered, so that the connection counts as idle.
#[test]
fn incomplete_request_on_used_connection_is_answered_when_connections_are_closed() {
    let (_servers, _discovery, mut node) = start_with_one_server("s-used", &[RESPONDS_OK]);
    let request = request_text("a", "pay", "20000m");
    let part_lengths = [1, request.len() / 2];
    let mut clients: Vec<_> = part_lengths.iter().map(|_| node.client()).collect();
    for client in &mut clients {
        assert_eq!(client.exchange(READINESS_REQUEST).status(), 200);
    }
    node.suspend();
    node.terminate();
    for (client, length) in clients.iter_mut().zip(part_lengths) {
        client.send(&request[..length]);
    }
    node.resume();
    std::thread::sleep(LONGER_THAN_DRAIN_PERIOD);
    for (number, (client, length)) in clients.iter_mut().zip(part_lengths).enumerate() {
        client.send(&request[length..].replace("Id: a", &format!("Id: a{number}")));
        let status = client.read_response().map(|answer| answer.status());
        assert!(matches!(status, Some(200 | 503)), "{number}: {status:?}");
    }
    assert!(node.wait().success());
}

/// Time after SIGTERM by which such a request must have its answer. The platform may kill the
/// process after 3.7 s, and the request's own deadline is 20 s; a slow machine stays below this.
const ANSWERED_WITHIN: Duration = Duration::from_secs(10);

/// Guards against requests that arrive slowly after SIGTERM, are forwarded with their full
/// deadline, and are still open when the process is killed.
#[test]
fn request_that_arrives_late_in_shutdown_is_answered_before_the_kill() {
    let (_servers, _discovery, node) =
        start_with_one_server("s-kill", &[ServerBehavior::NeverRespond]);
    let request = request_text("a", "pay", "20000m");
    let mut clients = [node.client(), node.client()];
    node.terminate();
    let terminated_at = Instant::now();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("Id: a{number}");
        client.send(&request.replace("Id: a", &id)[..request.len() / 2]);
    }
    std::thread::sleep(LONGER_THAN_DRAIN_PERIOD);
    // One client completes its request, the other one never does.
    let rest = &request.replace("Id: a", "Id: a0")[request.len() / 2..];
    clients[0].send(rest);
    for (number, client) in clients.iter_mut().enumerate() {
        let status = client.read_response().map(|answer| answer.status());
        assert!(
            matches!(status, Some(400 | 502 | 503)),
            "{number}: {status:?}"
        );
        assert!(terminated_at.elapsed() < ANSWERED_WITHIN, "{number}");
    }
}

/// After the drain period, the edge node waits until its open requests are answered, at most for
/// the longest deadline of any class.
#[test]
fn request_open_long_after_drain_period_is_answered() {
    let (servers, _discovery, mut node) =
        start_with_one_server("s-long", &[ServerBehavior::NeverRespond]);
    let mut client = node.client();
    client.send(&request_text("a", "pay", "20000m"));
    let mut received = servers.next_request();
    start_shutdown(&node);
    std::thread::sleep(2 * LONGER_THAN_DRAIN_PERIOD);
    received
        .stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("attempt is still in flight");
    assert_eq!(
        client.read_response().map(|answer| answer.status()),
        Some(200)
    );
    assert!(node.wait().success());
}

/// Longest deadline in the settings of the tests below. It is shorter than the 3 s up to which a
/// deadline delays the kill, so that the times below follow from it.
const SHORT_DEADLINE: &str = r#""deadlineUs":2000000"#;
/// Time after SIGTERM at which a request is sent, before idle connections are closed.
const REQUEST_DELAY: Duration = Duration::from_millis(450);
/// Times after SIGTERM between which the process is held up. The answer limit of 2.5 s and the end
/// of the longest deadline after the drain period, 2.6 s, lie between them.
const HOLD_UP: [Duration; 2] = [Duration::from_millis(2300), Duration::from_millis(2900)];

/// Starts an edge node with [`SHORT_DEADLINE`] and one server with this behavior.
fn start_with_short_deadline(
    tag: &str,
    behavior: ServerBehavior,
) -> (FakeServers, FakeDiscovery, EdgeNode) {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[behavior])];
    let discovery = FakeDiscovery::start(&entries);
    let edit = |config: String| config.replace(r#""deadlineUs":30000000"#, SHORT_DEADLINE);
    let node = EdgeNode::start_with_edited_config(tag, discovery.address, &entries, edit);
    (servers, discovery, node)
}

fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Guards against a process that exits before it answers its last requests, because it was held up
/// until both the answers and the end of its own wait were due.
#[test]
fn requests_are_answered_before_the_exit_if_the_process_is_held_up() {
    let (servers, _discovery, mut node) =
        start_with_short_deadline("s-held-up", ServerBehavior::NeverRespond);
    let mut clients: Vec<_> = (0..10).map(|_| node.client()).collect();
    node.terminate();
    let terminated_at = Instant::now();
    sleep_until(terminated_at + REQUEST_DELAY);
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&request_text(&format!("a{number}"), "pay", "2000m"));
    }
    sleep_until(terminated_at + HOLD_UP[0]);
    node.suspend();
    sleep_until(terminated_at + HOLD_UP[1]);
    node.resume();
    for (number, client) in clients.iter_mut().enumerate() {
        let status = client.read_response().map(|answer| answer.status());
        // The server has no capacity for so many requests at once, so that some are rejected.
        assert!(matches!(status, Some(502 | 503)), "{number}: {status:?}");
    }
    assert!(node.wait().success());
    assert_ne!(servers.unseen_requests().len(), 0);
}

/// Number of requests that a client sends without reading the answers, so that the system accepts
/// no more bytes of them.
const UNREAD_ANSWERS: usize = 200;

/// Guards against a client that never reads its answers and keeps the process from exiting.
#[test]
fn client_that_reads_no_answer_does_not_prevent_the_exit() {
    let (_servers, _discovery, mut node) =
        start_with_short_deadline("s-unread", ServerBehavior::Respond(long_response()));
    let mut client = node.client();
    for number in 0..UNREAD_ANSWERS {
        client.send(&request_text(&format!("a{number}"), "read", "2000m"));
    }
    node.terminate();
    assert!(node.wait().success());
}

#[test]
fn accepted_requests_are_answered_after_sigterm() {
    let (servers, _discovery, mut node) =
        start_with_one_server("term", &[ServerBehavior::NeverRespond, RESPONDS_OK]);
    let (mut waiting_client, mut idle_client) = (node.client(), node.client());
    assert_eq!(idle_client.exchange(READINESS_REQUEST).status(), 200);
    waiting_client.send(&request_text("a", "read", "20000m"));
    let received = servers.next_request();
    node.terminate();
    // New connections are still accepted for a while, and closed after the answer.
    let probe_answer = loop {
        let answer = node.client().exchange(READINESS_REQUEST);
        if answer.status() != 200 {
            break answer;
        }
    };
    assert_eq!(
        (probe_answer.status(), probe_answer.header("connection")),
        (503, "close")
    );
    let answer = idle_client.exchange(&request_text("b", "read", "20000m"));
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    idle_client.assert_closed();
    let mut stream = received.stream;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("attempt is still in flight");
    let answer = waiting_client
        .read_response()
        .expect("accepted request is answered");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    assert!(node.wait().success());
}
