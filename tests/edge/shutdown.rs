//! SIGTERM: clients send on every connection that stays open, up to the end. Each request gets its final answer or a
//! close, what is sent on is answered, and whoever comes new is answered.

use super::support::*;
use super::with_one;
use std::io::Write;
use std::time::Duration;

/// Longer than connections go on being accepted and kept open.
const LEAVING_FOR: Duration = Duration::from_millis(900);
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Waits until the edge node has been told to end and says that it is not ready any more.
fn leave(node: &Node) {
    node.terminate();
    while node.client().ask(READY).status() == 200 {}
}

/// Requests that come in the very moment in which the edge node closes its connections, on resting ones, on fresh ones,
/// and on such as it has yet to accept.
#[test]
fn what_comes_as_connections_are_closed_is_answered() {
    let (servers, _discovery, mut node) = with_one("s-moment", &[SERVES]);
    let mut clients: Vec<(String, Client)> = Vec::new();
    for number in 0..20 {
        let (tag, mut client) = (if number < 10 { "rests" } else { "fresh" }, node.client());
        if tag == "rests" {
            assert_eq!(client.ask(READY).status(), 200);
        }
        clients.push((format!("{tag}-{number}"), client));
    }
    leave(&node);
    node.stop();
    clients.extend((0..20).map(|number| (format!("new-{number}"), node.client())));
    for (id, client) in &mut clients {
        client.write(&request(id, "pay", "3000m"));
    }
    std::thread::sleep(LEAVING_FOR);
    node.go_on();
    for (id, client) in &mut clients {
        let answer = client.answer().map(|answer| (answer.status(), answer.header("connection").to_owned()));
        assert_eq!(answer, Some((200, "close".to_owned())), "{id}");
        client.ends();
    }
    assert!(node.wait().success());
    assert_eq!(servers.all_that_came().len(), clients.len());
}

/// The same with more of them than the edge node has descriptors for at a time.
#[test]
fn whoever_comes_as_connections_are_closed_is_answered_however_many_they_are() {
    let servers = Servers::new();
    let hosts = [host("s-1", servers.start("s-1", &[SERVES]), 1, "ready")];
    let discovery = Discovery::start(&hosts);
    let mut node = Node::with_sockets("s-many", discovery.address, &hosts, 64);
    leave(&node);
    node.stop();
    let mut clients: Vec<_> = (0..100).map(|_| node.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(&request(&format!("new-{number}"), "pay", "20000m"));
    }
    std::thread::sleep(LEAVING_FOR);
    node.go_on();
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.answer().map(|answer| answer.status()), Some(200), "{number}");
    }
    assert!(node.wait().success());
    assert_eq!(servers.all_that_came().len(), clients.len());
}

/// A client sends on behind its open request, long after connections were closed: the open one is answered, and of what
/// comes behind it nothing is sent on.
#[test]
fn nothing_is_sent_on_behind_the_last_answer_of_a_connection() {
    let (servers, _discovery, mut node) = with_one("s-behind", &[Does::IsSilent, SERVES]);
    let mut client = node.client();
    client.write(&request("a", "pay", "20000m"));
    let mut got = servers.next();
    leave(&node);
    client.write(&request("b", "pay", "20000m"));
    std::thread::sleep(LEAVING_FOR);
    client.write(&request("c", "pay", "20000m"));
    got.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks").expect("it is still out");
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    // Without an answer to what comes behind; that it was not read, the close tells.
    client.ends();
    assert!(node.wait().success());
    servers.got_no_more();
}

/// A request of which a part has come as connections are closed is read to its end, and answered.
#[test]
fn a_request_that_has_begun_as_connections_are_closed_is_answered() {
    let (servers, _discovery, mut node) = with_one("s-begun", &[SERVES]);
    let words = request("a", "pay", "20000m");
    let cuts = [1, words.len() / 2, words.len() - 4, words.len() - 1];
    let mut clients: Vec<_> = cuts.iter().map(|cut| (*cut, node.client())).collect();
    leave(&node);
    std::thread::sleep(LEAVING_FOR - LEAVING_FOR / 2);
    for (cut, client) in &mut clients {
        client
            .write(&words.replace("Id: a", &format!("Id: {}", char::from(b'a' + (*cut % 26) as u8)))[..*cut]);
    }
    std::thread::sleep(LEAVING_FOR / 2);
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
