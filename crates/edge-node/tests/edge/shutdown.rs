//! Shutdown on SIGTERM while clients keep sending on every open connection, up to the end. Each
//! request gets its final answer or a close, each request that reached a server is answered, and so
//! is each new client.

use super::start_with_one_server;
use super::support::*;
use std::io::Write;
use std::time::Duration;

/// Longer than the drain period, in which connections are accepted and kept open.
const DRAINED_AFTER: Duration = Duration::from_millis(900);
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Sends SIGTERM and waits until the readiness probe fails.
fn start_shutdown(node: &EdgeNode) {
    node.terminate();
    while node.client().exchange(READY).status() == 200 {}
}

/// Requests that arrive at the moment in which the edge node closes its connections: on idle ones,
/// on new ones, and on ones that are still in the backlog.
#[test]
fn requests_that_arrive_while_connections_are_closed_are_answered() {
    let (servers, _discovery, mut node) = start_with_one_server("s-moment", &[RESPONDS_OK]);
    let mut clients: Vec<(String, Client)> = Vec::new();
    for number in 0..20 {
        let tag = if number < 10 { "idle" } else { "unused" };
        let mut client = node.client();
        if tag == "idle" {
            assert_eq!(client.exchange(READY).status(), 200);
        }
        clients.push((format!("{tag}-{number}"), client));
    }
    start_shutdown(&node);
    node.suspend();
    clients.extend((0..20).map(|number| (format!("new-{number}"), node.client())));
    for (id, client) in &mut clients {
        client.send(&request_text(id, "pay", "3000m"));
    }
    std::thread::sleep(DRAINED_AFTER);
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

/// The same with more connections than the edge node has descriptors for.
#[test]
fn more_clients_than_descriptors_are_answered_while_connections_are_closed() {
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
    std::thread::sleep(DRAINED_AFTER);
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

/// A client pipelines requests behind its open one, long after idle connections were closed: the
/// open request is answered, and none behind it is forwarded.
#[test]
fn nothing_is_forwarded_behind_the_last_answer_of_a_connection() {
    let (servers, _discovery, mut node) =
        start_with_one_server("s-behind", &[ServerBehavior::NeverRespond, RESPONDS_OK]);
    let mut client = node.client();
    client.send(&request_text("a", "pay", "20000m"));
    let mut received = servers.next_request();
    start_shutdown(&node);
    client.send(&request_text("b", "pay", "20000m"));
    std::thread::sleep(DRAINED_AFTER);
    client.send(&request_text("c", "pay", "20000m"));
    received
        .stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("the attempt is still in flight");
    let answer = client.read_response().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    // No answer to the requests behind it: the close says that they were not read.
    client.assert_closed();
    assert!(node.wait().success());
    servers.assert_no_more_requests();
}

/// The first part of a request is sent this long after SIGTERM, well before idle connections are
/// closed at 600 ms, and the rest this much later: after that, and inside the 600 ms that a body
/// has.
const FIRST_PART_AFTER: Duration = Duration::from_millis(300);
const REST_AFTER: Duration = Duration::from_millis(450);

/// A request that has arrived in part when connections are closed is read to its end, and answered.
#[test]
fn a_request_that_has_begun_when_connections_are_closed_is_answered() {
    let (servers, _discovery, mut node) = start_with_one_server("s-begun", &[RESPONDS_OK]);
    let words = request_text("a", "pay", "20000m");
    let cuts = [1, words.len() / 2, words.len() - 4, words.len() - 1];
    let mut clients: Vec<_> = cuts.iter().map(|cut| (*cut, node.client())).collect();
    start_shutdown(&node);
    std::thread::sleep(FIRST_PART_AFTER);
    for (cut, client) in &mut clients {
        client.send(
            &words.replace(
                "Id: a",
                &format!("Id: {}", char::from(b'a' + (*cut % 26) as u8)),
            )[..*cut],
        );
    }
    std::thread::sleep(REST_AFTER);
    for (cut, client) in &mut clients {
        client.send(
            &words.replace(
                "Id: a",
                &format!("Id: {}", char::from(b'a' + (*cut % 26) as u8)),
            )[*cut..],
        );
    }
    for (cut, client) in &mut clients {
        assert_eq!(
            client.read_response().map(|answer| answer.status()),
            Some(200),
            "cut at {cut}"
        );
    }
    assert!(node.wait().success());
    assert_eq!(servers.unseen_requests().len(), cuts.len());
}

/// A shutdown waits for the last deadline, not only for as long again as it drained.
#[test]
fn a_request_that_is_open_long_after_the_drain_period_is_answered() {
    let (servers, _discovery, mut node) =
        start_with_one_server("s-long", &[ServerBehavior::NeverRespond]);
    let mut client = node.client();
    client.send(&request_text("a", "pay", "20000m"));
    let mut received = servers.next_request();
    start_shutdown(&node);
    std::thread::sleep(2 * DRAINED_AFTER);
    received
        .stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("the attempt is still in flight");
    assert_eq!(
        client.read_response().map(|answer| answer.status()),
        Some(200)
    );
    assert!(node.wait().success());
}

#[test]
fn sigterm_completes_the_requests_that_were_accepted() {
    let (servers, _discovery, mut node) =
        start_with_one_server("term", &[ServerBehavior::NeverRespond, RESPONDS_OK]);
    let (mut waiting, mut idle) = (node.client(), node.client());
    assert_eq!(idle.exchange(READY).status(), 200);
    waiting.send(&request_text("a", "read", "20000m"));
    let received = servers.next_request();
    node.terminate();
    // New connections are still accepted for a while, and closed after their answer.
    let late = loop {
        let answer = node.client().exchange(READY);
        if answer.status() != 200 {
            break answer;
        }
    };
    assert_eq!((late.status(), late.header("connection")), (503, "close"));
    let answer = idle.exchange(&request_text("b", "read", "20000m"));
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    idle.assert_closed();
    let mut stream = received.stream;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("the attempt is still in flight");
    let answer = waiting
        .read_response()
        .expect("an accepted request is answered");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    assert!(node.wait().success());
}
