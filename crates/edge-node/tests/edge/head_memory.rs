//! Tests that long heads, and what clients send behind open requests, keep the process below its
//! memory limit, in any phase of a connection.

use super::body_memory::{
    assert_below_memory_limit, start_with_descriptors, MANY_DESCRIPTORS, READINESS_REQUEST,
};
use super::support::*;
use std::io::Write;
use std::thread;
use std::time::Duration;

/// Number of clients that are connected at the same time, nearly as many as the edge node accepts.
const CLIENTS: usize = 480;
/// Number of clients that connect before the edge node has time to read what they sent.
const CLIENTS_AT_ONCE: usize = 40;
/// Time in which the edge node reads what [`CLIENTS_AT_ONCE`] have sent.
const READ_TIME: Duration = Duration::from_millis(20);
/// Length of a head that is just accepted.
const LONG_HEAD_BYTES: usize = 31 * 1024;
/// Length of the part of such a head that is sent by clients that stop.
const INCOMPLETE_HEAD_BYTES: usize = LONG_HEAD_BYTES - 1024;
/// Number of fields in such a head, below the 100 that the HTTP library accepts.
const MANY_FIELDS: usize = 90;
const SERVERS: usize = 10;
/// Number of clients that stop in a long head, more than there is memory for.
const HOLDERS: usize = 120;

/// Starts an edge node with a small memory limit and servers with this behavior.
fn start(tag: &str, behavior: ServerBehavior) -> (FakeServers, FakeDiscovery, EdgeNode) {
    let servers = FakeServers::new();
    let entry = |number| {
        servers.start_returning_entry(&format!("s-{number}"), std::slice::from_ref(&behavior))
    };
    let entries: Vec<_> = (0..SERVERS).map(entry).collect();
    let discovery = FakeDiscovery::start(&entries);
    let node = start_with_descriptors(tag, &discovery, &entries, MANY_DESCRIPTORS);
    (servers, discovery, node)
}

/// Connects clients that each send the text for their number, and asserts that the memory stays
/// below the limit and that another client is served.
fn assert_memory_with_clients(node: &EdgeNode, what: &str, text: impl Fn(usize) -> String) {
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = node.client();
        // The write fails if the edge node has closed the connection.
        let _ = client.stream.set_nonblocking(true);
        let _ = client.stream.write(text(number).as_bytes());
        clients.push(client);
        if number % CLIENTS_AT_ONCE == 0 {
            thread::sleep(READ_TIME);
        }
    }
    let response = node.client().exchange(READINESS_REQUEST);
    assert_eq!(response.status(), 200, "{what}");
    assert_below_memory_limit(node, what);
}

/// Returns a request with a body, whose head has many fields and is as long as is accepted.
fn request_with_many_fields(id: &str, body: &str, declared_bytes: usize) -> String {
    let field = format!("field: {}\r\n", "v".repeat(LONG_HEAD_BYTES / MANY_FIELDS));
    let fields = field.repeat(MANY_FIELDS - 2);
    request_text(id, "pay", "20000m").replace(
        "Content-Length: 4\r\n\r\ntime",
        &format!("{fields}Content-Length: {declared_bytes}\r\n\r\n{body}"),
    )
}

/// Guards against heads that stay in memory while their bodies arrive: the parsed fields, and the
/// read buffer below them.
#[test]
fn long_heads_of_incomplete_bodies_stay_below_memory_limit() {
    let (_servers, _discovery, node) = start("heads-body", ServerBehavior::NeverRespond);
    let half = "b".repeat(32 * 1024);
    assert_memory_with_clients(&node, "half of the bodies", |number| {
        request_with_many_fields(&format!("h{number}"), &half, 64 * 1024)
    });
}

/// Guards against incomplete heads, each of which takes more than is reserved for a connection.
#[test]
fn long_incomplete_heads_stay_below_memory_limit() {
    let (_servers, _discovery, node) = start("heads", RESPONDS_OK);
    assert_memory_with_clients(&node, "incomplete heads", |number| {
        let request = request_with_many_fields(&format!("h{number}"), "", 4);
        request[..INCOMPLETE_HEAD_BYTES].to_owned()
    });
}

/// Guards against bytes that are read ahead while a request is in flight, on connections that cannot
/// be evicted, and against the copies of long targets.
#[test]
fn bytes_behind_open_requests_with_long_targets_stay_below_memory_limit() {
    let (_servers, _discovery, node) = start("heads-behind", ServerBehavior::NeverRespond);
    let target = format!("?game={}", "7".repeat(LONG_HEAD_BYTES - 1024));
    let behind = format!("GET /read HTTP/1.1\r\nPad: {}", "p".repeat(60 * 1024));
    assert_memory_with_clients(&node, "pipelined bytes", |number| {
        request_text(&format!("h{number}"), "read", "20000m").replace("?game=7", &target) + &behind
    });
}

/// Guards against servers that send heads without end on many connections.
#[test]
fn endless_response_heads_stay_below_memory_limit() {
    let fields = "field: value\r\n".repeat(2200);
    let head: &'static str = Box::leak(format!("HTTP/1.1 200 OK\r\n{fields}").into_boxed_str());
    let (servers, _discovery, node) = start("heads-servers", ServerBehavior::Respond(head));
    assert_memory_with_clients(&node, "endless response heads", |number| {
        request_text(&format!("h{number}"), "read", "20000m")
    });
    assert_ne!(servers.unseen_requests().len(), 0);
}

/// Number of descriptors that the edge node may have open with so little memory: those of the client
/// connections that half of it allows, and the reserved ones.
const MAX_OPEN_DESCRIPTORS: usize = 292 + 32;

/// Guards against more connections than the memory limit allows, each of which takes up to 28 KiB
/// with an incomplete head.
#[test]
fn connections_are_limited_by_memory() {
    let (_servers, _discovery, node) = start("heads-many", RESPONDS_OK);
    assert_memory_with_clients(&node, "incomplete heads", |_| {
        "POST /pay/00000000b4d65521 HTTP/1.1\r\nHost".to_owned()
    });
    let open = node.open_descriptors();
    assert!(open <= MAX_OPEN_DESCRIPTORS, "{open} descriptors");
}

/// Connects clients that stop in long heads, so that no memory for heads is left.
fn exhaust_head_memory(node: &EdgeNode) -> Vec<Client> {
    let hold = |number: usize| {
        let mut client = node.client();
        let request = request_with_many_fields(&format!("h{number}"), "", 4);
        client.send(&request[..INCOMPLETE_HEAD_BYTES]);
        client
    };
    let holders = (0..HOLDERS).map(hold).collect();
    assert_eq!(node.client().exchange(READINESS_REQUEST).status(), 200);
    holders
}

/// While long heads use up the memory for heads, requests with short heads are served, and one with a
/// long head is rejected with a response.
#[test]
fn only_long_heads_are_rejected_without_memory_for_heads() {
    let (_servers, _discovery, node) = start("heads-rejected", RESPONDS_OK);
    let _holders = exhaust_head_memory(&node);
    let mut client = node.client();
    // The edge node responds before it has read the whole head.
    let _ = client
        .stream
        .write_all(request_with_many_fields("long", "time", 4).as_bytes());
    let rejected = client.read_response().map(|response| response.status());
    assert_eq!(rejected, Some(503));
    let short = node
        .client()
        .exchange(&request_text("short", "pay", "20000m"));
    assert_eq!(short.status(), 200);
}

/// Number of requests behind an open one, more than the operating system buffers.
const REQUESTS_BEHIND: usize = 4000;

/// Guards against an attempt that goes on for a client that has left, because the close lies behind
/// bytes for which there is no memory.
#[test]
fn close_behind_many_requests_is_found_without_memory_for_them() {
    let (servers, _discovery, node) = start("heads-close", ServerBehavior::NeverRespond);
    let _holders = exhaust_head_memory(&node);
    let mut client = node.client();
    client.send(&request_text("a", "pay", "20000m"));
    let received = servers.next_request();
    let behind = |number| request_text(&format!("b{number}"), "pay", "20000m");
    client.send(&(0..REQUESTS_BEHIND).map(behind).collect::<String>());
    client.close();
    received
        .stream
        .set_read_timeout(Some(TEST_TIMEOUT / 6))
        .expect("read timeout is set");
    let is_closed = matches!(received.stream.peek(&mut [0]), Ok(0));
    assert!(is_closed, "the attempt is still in flight");
}
