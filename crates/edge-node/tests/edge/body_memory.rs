//! Tests that the memory for bodies follows their length, however they arrive, so that the platform
//! does not kill the process for exceeding its memory limit.

use super::support::*;
use std::io::Write;
use std::thread;
use std::time::Duration;

/// The smallest memory limit on the days of the platform.
const MEMORY_LIMIT_MIB: usize = 32;
/// The numbers of file descriptors on these days lie between these.
const FEW_DESCRIPTORS: usize = 256;
pub(super) const MANY_DESCRIPTORS: usize = 1024;
const KIB_PER_MIB: usize = 1024;
/// Maximum length of a body in the protocol.
const BODY_BYTES: usize = 64 * 1024;
/// Number of clients with long bodies that write or read at the same time.
const LONG_BODY_CLIENTS: usize = 100;
/// Number of servers that respond with long bodies.
const SERVERS: usize = 10;
/// Number of requests that a client with short requests sends one after another.
const SHORT_REQUESTS: usize = 20;
/// Time over which a body is written. It leaves the edge node half of the time that it allows.
const WRITE_TIME: Duration = Duration::from_millis(300);

pub(super) const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Returns how a body is written in pieces of this length.
fn in_pieces(piece_bytes: usize) -> Pieces {
    Pieces {
        piece_bytes,
        duration: WRITE_TIME,
    }
}

/// Starts an edge node with [`MEMORY_LIMIT_MIB`] and this number of file descriptors.
pub(super) fn start_with_descriptors(
    tag: &str,
    discovery: &FakeDiscovery,
    entries: &[String],
    descriptors: usize,
) -> EdgeNode {
    let limits = |config: String| {
        config
            .replace(
                r#""memory_mb":192"#,
                &format!(r#""memory_mb":{MEMORY_LIMIT_MIB}"#),
            )
            .replace(r#""sockets":1024"#, &format!(r#""sockets":{descriptors}"#))
    };
    EdgeNode::start_with_edited_config(tag, discovery.address, entries, limits)
}

pub(super) fn assert_below_memory_limit(node: &EdgeNode, what: &str) {
    let peak_kib = node.peak_memory_kib();
    assert!(
        peak_kib < MEMORY_LIMIT_MIB * KIB_PER_MIB,
        "{peak_kib} KiB with {what}"
    );
}

/// Returns the head of a request whose body has this length.
fn request_head(id: &str, body_bytes: usize) -> String {
    request_text(id, "pay", "20000m").replace(
        "Content-Length: 4\r\n\r\ntime",
        &format!("Content-Length: {body_bytes}\r\n\r\n"),
    )
}

/// Sends a long request whose body is written in pieces. Returns the status of the response; `None`
/// if the edge node closed the connection because the body took too long.
fn exchange_in_pieces(mut client: Client, id: &str, pieces: Pieces) -> Option<u16> {
    client.send(&request_head(id, BODY_BYTES));
    // The write fails if the edge node has responded to the incomplete request.
    let _ = pieces.write(&mut client.stream, &vec![b'p'; BODY_BYTES]);
    client.read_response().map(|response| response.status())
}

/// Sends short requests one after another, each of which must be served.
fn assert_short_requests_are_served(mut client: Client, tag: &str) {
    for number in 0..SHORT_REQUESTS {
        let request = request_text(&format!("{tag}-short-{number}"), "read", "20000m");
        assert_eq!(client.exchange(&request).status(), 200, "{tag} {number}");
        thread::sleep(WRITE_TIME / SHORT_REQUESTS as u32);
    }
}

fn exchange_long_and_short_requests(node: &EdgeNode, piece_bytes: usize) {
    let tag = format!("p{piece_bytes}");
    thread::scope(|scope| {
        for number in 0..LONG_BODY_CLIENTS {
            let (client, id) = (node.client(), format!("{tag}-{number}"));
            scope.spawn(move || exchange_in_pieces(client, &id, in_pieces(piece_bytes)));
        }
        assert_short_requests_are_served(node.client(), &tag);
    });
}

/// Guards against request bodies in small pieces that hold a read buffer for each piece, which took
/// the edge node over its memory limit with twenty sound clients.
#[test]
fn request_bodies_in_small_pieces_stay_below_memory_limit() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let node = start_with_descriptors("request-pieces", &discovery, &entries, FEW_DESCRIPTORS);
    for piece_bytes in [1460, 128, 1] {
        exchange_long_and_short_requests(&node, piece_bytes);
        assert_below_memory_limit(&node, &format!("pieces of {piece_bytes} bytes"));
    }
    let status = exchange_in_pieces(node.client(), "whole", in_pieces(BODY_BYTES));
    assert_eq!(status, Some(200));
    let forwarded = servers.unseen_requests();
    let is_long = |request: &&ReceivedRequest| request.message.body.len() == BODY_BYTES;
    assert!(forwarded.iter().filter(is_long).count() > 1);
}

/// Number of clients that send long bodies and wait, more than there is memory for.
const WAITING_CLIENTS: usize = 400;
/// Length of a body that exceeds the maximum of the protocol, and is accepted if memory allows.
const LARGE_BODY_BYTES: usize = 1_000_000;
/// Number of clients that send such bodies.
const LARGE_BODY_CLIENTS: usize = 80;
/// Time between two such requests, in which the edge node can read a complete body.
const LARGE_BODY_INTERVAL: Duration = Duration::from_millis(10);

/// Starts an edge node whose server never responds to a request with a body.
fn start_with_silent_server(
    tag: &str,
    descriptors: usize,
) -> (FakeServers, FakeDiscovery, EdgeNode) {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[ServerBehavior::NeverRespond])];
    let discovery = FakeDiscovery::start(&entries);
    let node = start_with_descriptors(tag, &discovery, &entries, descriptors);
    (servers, discovery, node)
}

/// Sends a request with a long body. Returns the connection, on which the client waits.
fn send_and_wait(node: &EdgeNode, id: &str, body_bytes: usize) -> Client {
    let mut client = node.client();
    client.send(&request_head(id, body_bytes));
    // The write fails if the edge node has rejected the request.
    let _ = client.stream.write_all(&vec![b'p'; body_bytes]);
    client
}

/// Guards against small bodies that are not counted: with many connections, requests that wait for
/// their servers took the edge node over its memory limit. What there is no memory for is rejected.
#[test]
fn bodies_of_many_waiting_requests_stay_below_memory_limit() {
    let (_servers, _discovery, node) = start_with_silent_server("waiting", MANY_DESCRIPTORS);
    let send = |number: usize| send_and_wait(&node, &format!("w{number}"), BODY_BYTES);
    let clients: Vec<Client> = (0..WAITING_CLIENTS).map(send).collect();
    assert_eq!(node.client().exchange(READINESS_REQUEST).status(), 200);
    assert_below_memory_limit(&node, "many waiting requests");
    node.wait_for_log("a request is rejected");
    assert_below_memory_limit(&node, "rejected requests");
    drop(clients);
}

/// A request that is rejected for lack of memory gets a complete response, which tells that it may
/// be sent again, before its connection is closed.
#[test]
fn request_without_memory_for_its_body_is_answered_503() {
    let (_servers, _discovery, node) = start_with_silent_server("rejected", MANY_DESCRIPTORS);
    let send = |number: usize| send_and_wait(&node, &format!("w{number}"), BODY_BYTES);
    let _clients: Vec<Client> = (0..WAITING_CLIENTS).map(send).collect();
    node.wait_for_log("a request is rejected");
    let mut rejected = send_and_wait(&node, "last", BODY_BYTES);
    assert_eq!(
        rejected.read_response().map(|response| response.status()),
        Some(503)
    );
    rejected.assert_closed();
}

/// Guards against large bodies that are counted only while they are read: requests that wait for
/// their servers kept them, and took the edge node over its memory limit.
#[test]
fn large_bodies_of_waiting_requests_stay_below_memory_limit() {
    let (_servers, _discovery, node) = start_with_silent_server("large", FEW_DESCRIPTORS);
    let mut clients = Vec::new();
    for number in 0..LARGE_BODY_CLIENTS {
        clients.push(send_and_wait(
            &node,
            &format!("l{number}"),
            LARGE_BODY_BYTES,
        ));
        thread::sleep(LARGE_BODY_INTERVAL);
    }
    assert_below_memory_limit(&node, "large bodies");
    drop(clients);
}

/// Returns a response whose body has the maximum length.
pub(super) fn long_response() -> &'static str {
    let body = "r".repeat(BODY_BYTES);
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n{body}");
    Box::leak(response.into_boxed_str())
}

/// Guards against response bodies in small pieces that hold a read buffer for each piece.
#[test]
fn response_bodies_in_small_pieces_stay_below_memory_limit() {
    let servers = FakeServers::new();
    let behaviors = [ServerBehavior::RespondInPieces(
        long_response(),
        in_pieces(128),
    )];
    // One server would be overloaded by so many requests, and most of them rejected.
    let entry = |number| servers.start_returning_entry(&format!("s-{number}"), &behaviors);
    let entries: Vec<_> = (0..SERVERS).map(entry).collect();
    let discovery = FakeDiscovery::start(&entries);
    let node = start_with_descriptors("response-pieces", &discovery, &entries, FEW_DESCRIPTORS);
    thread::scope(|scope| {
        for number in 0..LONG_BODY_CLIENTS {
            let request = request_text(&format!("r{number}"), "read", "20000m");
            let mut client = node.client();
            scope.spawn(move || {
                let response = client.exchange(&request);
                assert_eq!((response.status(), response.body.len()), (200, BODY_BYTES));
            });
        }
    });
    assert_below_memory_limit(&node, "responses in pieces of 128 bytes");
}
