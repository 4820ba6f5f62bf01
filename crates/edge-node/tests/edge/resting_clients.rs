//! Tests requests of which only a part has arrived when the edge node closes connections: because
//! they have been idle for too long, or to make room for others. Each request gets an answer.

use super::start_with_one_server;
use super::support::*;
use std::thread::sleep;
use std::time::Duration;

/// Time that clients rest before they begin a request: slightly less than the idle time of 2.2 s
/// after which the edge node closes a connection.
const REST: Duration = Duration::from_millis(2000);
/// Time in which clients write the parts of a request. It ends after the idle time.
const WRITE_TIME: Duration = Duration::from_millis(400);

/// Rests, then writes a request in three parts.
fn rest_and_write_slowly(client: &mut Client, request: &str) {
    sleep(REST);
    let pieces = Pieces {
        piece_bytes: request.len() / 3,
        duration: WRITE_TIME,
    };
    // The response shows whether the edge node has closed the connection in the meantime.
    let _ = pieces.write(&mut client.stream, request.as_bytes());
}

/// Guards against a request that is closed without an answer because its head is still arriving
/// when the connection would have been idle for too long.
#[test]
fn request_that_crosses_the_idle_limit_in_parts_is_answered() {
    let (_servers, _discovery, node) = start_with_one_server("rests", &[RESPONDS_OK]);
    std::thread::scope(|scope| {
        for (class, is_first) in [
            ("read", true),
            ("read", false),
            ("pay", true),
            ("pay", false),
        ] {
            let mut client = node.client();
            scope.spawn(move || {
                let tag = format!("{class}-{is_first}");
                if !is_first {
                    let request = request_text(&format!("{tag}-before"), class, "20000m");
                    assert_eq!(client.exchange(&request).status(), 200);
                }
                rest_and_write_slowly(&mut client, &request_text(&tag, class, "20000m"));
                let status = client.read_response().map(|answer| answer.status());
                assert_eq!(status, Some(200), "{tag}");
            });
        }
    });
}

/// Sends a request, if the connection is to be a used one, and then a part of another request.
fn begin_request(node: &EdgeNode, id: &str, is_used: bool) -> Client {
    let mut client = node.client();
    if is_used {
        let request = request_text(&format!("{id}-before"), "read", "20000m");
        assert_eq!(client.exchange(&request).status(), 200);
    }
    client.send(&request_text(id, "read", "20000m")[..60]);
    client
}

/// Guards against a client that stops in the middle of a head and gets no answer.
#[test]
fn client_that_stops_in_a_head_gets_an_error() {
    let (_servers, _discovery, node) = start_with_one_server("stops", &[RESPONDS_OK]);
    for is_used in [false, true] {
        let mut client = begin_request(&node, &format!("stops-{is_used}"), is_used);
        let status = client.read_response().map(|answer| answer.status());
        assert_eq!(status, Some(400), "{is_used}");
        client.assert_closed();
    }
}

/// Number of file descriptors that leaves 16 connections for clients.
const FEW_DESCRIPTORS: usize = 64;

fn start_with_few_descriptors(tag: &str) -> (FakeServers, FakeDiscovery, EdgeNode) {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let node =
        EdgeNode::start_with_descriptor_limit(tag, discovery.address, &entries, FEW_DESCRIPTORS);
    (servers, discovery, node)
}

/// Guards against a connection that counts as idle and is closed for a new one although a request
/// has begun to arrive on it.
#[test]
fn connection_with_part_of_request_is_kept_while_others_are_idle() {
    let (_servers, _discovery, node) = start_with_few_descriptors("part-kept");
    let request = request_text("kept", "read", "20000m");
    for is_used in [false, true] {
        let id = format!("kept-{is_used}");
        let mut client = begin_request(&node, &id, is_used);
        let _idle: Vec<_> = (0..FEW_DESCRIPTORS).map(|_| node.client()).collect();
        // Shows that the connections before have been accepted.
        let other = request_text(&format!("other-{is_used}"), "read", "20000m");
        assert_eq!(node.client().exchange(&other).status(), 200);
        client.send(&request.replace("Id: kept", &format!("Id: {id}"))[60..]);
        let status = client.read_response().map(|answer| answer.status());
        assert_eq!(status, Some(200), "{id}");
    }
}

/// Guards against requests that are closed without an answer because other clients need their
/// connections.
#[test]
fn incomplete_requests_are_answered_if_their_connections_are_needed() {
    let (servers, _discovery, node) = start_with_few_descriptors("part-needed");
    let clients: Vec<_> = (0..FEW_DESCRIPTORS)
        .map(|number| begin_request(&node, &format!("needed-{number}"), false))
        .collect();
    for (number, mut client) in clients.into_iter().enumerate() {
        let status = client.read_response().map(|answer| answer.status());
        assert!(matches!(status, Some(400 | 503)), "{number}: {status:?}");
    }
    servers.assert_no_more_requests();
}

/// Guards against an accept loop that stands still while clients that stop in the middle of a body
/// hold all connections.
#[test]
fn clients_that_stop_in_a_body_give_way_to_new_ones() {
    let (servers, _discovery, node) = start_with_few_descriptors("body-needed");
    let mut stalled: Vec<_> = (0..FEW_DESCRIPTORS)
        .map(|number| {
            let mut client = node.client();
            let request = request_text(&format!("stalled-{number}"), "pay", "20000m");
            client.send(&request[..request.len() - 2]);
            client
        })
        .collect();
    let sound = request_text("sound", "pay", "20000m");
    assert_eq!(node.client().exchange(&sound).status(), 200);
    let statuses: Vec<_> = stalled
        .iter_mut()
        .map(|client| client.read_response().map(|answer| answer.status()))
        .collect();
    let is_answered = |status: &Option<u16>| matches!(status, Some(400 | 503));
    assert!(statuses.iter().all(is_answered), "{statuses:?}");
    // Without eviction, all of them would wait for the time limit of their bodies.
    assert!(statuses.contains(&Some(503)), "{statuses:?}");
    assert_eq!(
        servers.next_request().message.header("x-request-id"),
        "sound"
    );
    servers.assert_no_more_requests();
}
