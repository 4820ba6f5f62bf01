//! Shutdown on SIGTERM while clients keep sending on every open connection, up to the end. Each request gets its final
//! answer or a close, each request that reached a server is answered, and so is each new client.

use super::support::*;
use super::with_one;
use std::io::Write;
use std::time::Duration;

/// Longer than the drain period, in which connections are accepted and kept open.
const DRAINED_AFTER: Duration = Duration::from_millis(900);
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Sends SIGTERM and waits until the readiness probe fails.
fn start_shutdown(node: &Node) {
    node.terminate();
    while node.client().ask(READY).status() == 200 {}
}

/// Requests that arrive at the moment in which the edge node closes its connections: on idle ones, on new ones, and on
/// ones that are still in the backlog.
#[test]
fn requests_that_arrive_while_connections_are_closed_are_answered() {
    let (servers, _discovery, mut node) = with_one("s-moment", &[SERVES]);
    let mut clients: Vec<(String, Client)> = Vec::new();
    for number in 0..20 {
        let tag = if number < 10 { "idle" } else { "unused" };
        let mut client = node.client();
        if tag == "idle" {
            assert_eq!(client.ask(READY).status(), 200);
        }
        clients.push((format!("{tag}-{number}"), client));
    }
    start_shutdown(&node);
    node.stop();
    clients.extend((0..20).map(|number| (format!("new-{number}"), node.client())));
    for (id, client) in &mut clients {
        client.write(&request(id, "pay", "3000m"));
    }
    std::thread::sleep(DRAINED_AFTER);
    node.go_on();
    for (id, client) in &mut clients {
        let answer = client.answer().map(|answer| (answer.status(), answer.header("connection").to_owned()));
        assert_eq!(answer, Some((200, "close".to_owned())), "{id}");
        client.ends();
    }
    assert!(node.wait().success());
    assert_eq!(servers.all_that_came().len(), clients.len());
}

/// The same with more connections than the edge node has descriptors for.
#[test]
fn more_clients_than_descriptors_are_answered_while_connections_are_closed() {
    let servers = Servers::new();
    let hosts = [host("s-1", servers.start("s-1", &[SERVES]), 1, "ready")];
    let discovery = Discovery::start(&hosts);
    let mut node = Node::with_sockets("s-many", discovery.address, &hosts, 64);
    start_shutdown(&node);
    node.stop();
    let mut clients: Vec<_> = (0..100).map(|_| node.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(&request(&format!("new-{number}"), "pay", "20000m"));
    }
    std::thread::sleep(DRAINED_AFTER);
    node.go_on();
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.answer().map(|answer| answer.status()), Some(200), "{number}");
    }
    assert!(node.wait().success());
    assert_eq!(servers.all_that_came().len(), clients.len());
}

/// A client pipelines requests behind its open one, long after idle connections were closed: the open request is
/// answered, and none behind it is forwarded.
#[test]
fn nothing_is_forwarded_behind_the_last_answer_of_a_connection() {
    let (servers, _discovery, mut node) = with_one("s-behind", &[Does::IsSilent, SERVES]);
    let mut client = node.client();
    client.write(&request("a", "pay", "20000m"));
    let mut got = servers.next();
    start_shutdown(&node);
    client.write(&request("b", "pay", "20000m"));
    std::thread::sleep(DRAINED_AFTER);
    client.write(&request("c", "pay", "20000m"));
    got.stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("the attempt is still in flight");
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    // No answer to the requests behind it: the close says that they were not read.
    client.ends();
    assert!(node.wait().success());
    servers.got_no_more();
}

/// A request that has arrived in part when connections are closed is read to its end, and answered.
#[test]
fn a_request_that_has_begun_when_connections_are_closed_is_answered() {
    let (servers, _discovery, mut node) = with_one("s-begun", &[SERVES]);
    let words = request("a", "pay", "20000m");
    let cuts = [1, words.len() / 2, words.len() - 4, words.len() - 1];
    let mut clients: Vec<_> = cuts.iter().map(|cut| (*cut, node.client())).collect();
    start_shutdown(&node);
    std::thread::sleep(DRAINED_AFTER - DRAINED_AFTER / 2);
    for (cut, client) in &mut clients {
        client
            .write(&words.replace("Id: a", &format!("Id: {}", char::from(b'a' + (*cut % 26) as u8)))[..*cut]);
    }
    std::thread::sleep(DRAINED_AFTER / 2);
    for (cut, client) in &mut clients {
        client
            .write(&words.replace("Id: a", &format!("Id: {}", char::from(b'a' + (*cut % 26) as u8)))[*cut..]);
    }
    for (cut, client) in &mut clients {
        assert_eq!(client.answer().map(|answer| answer.status()), Some(200), "cut at {cut}");
    }
    assert!(node.wait().success());
    assert_eq!(servers.all_that_came().len(), cuts.len());
}
