//! Tests which failed attempts are retried, at which server, and until when.

use super::start_with_one_server;
use super::support::*;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Starts an edge node with two servers in these cells. The first attempt is handled with the
/// behavior `first`, all further attempts with `others`.
fn start_with_two_servers(
    tag: &str,
    cells: [u32; 2],
    first: ServerBehavior,
    others: ServerBehavior,
) -> (FakeServers, FakeDiscovery, EdgeNode) {
    let servers = FakeServers::new();
    let behaviors = SharedBehaviors::new(vec![first, others].into());
    let entry = |(cell, name): (u32, &str)| {
        endpoint_entry(
            name,
            servers.start_with_shared_behaviors(name, &behaviors),
            cell,
            "ready",
        )
    };
    let entries: Vec<_> = cells.into_iter().zip(["s-1", "s-2"]).map(entry).collect();
    let discovery = FakeDiscovery::start(&entries);
    let node = EdgeNode::start(tag, discovery.address, &entries);
    (servers, discovery, node)
}

/// A request that was not executed may be retried whatever its class. A request that may have been
/// executed is retried only if its class allows it.
#[test]
fn possibly_executed_request_is_retried_only_if_class_allows_it() {
    let reset = ServerBehavior::RespondAndClose("");
    let truncated =
        ServerBehavior::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nran");
    let cases = [
        ("full", RESPONDS_OVERLOADED, "pay", 200, 2),
        ("full-keyed", RESPONDS_OVERLOADED, "submit", 200, 2),
        ("reset-safe", reset.clone(), "read", 200, 2),
        ("reset-unsafe", reset.clone(), "pay", 502, 1),
        ("cut-safe", truncated.clone(), "read", 200, 2),
        ("cut-unsafe", truncated, "pay", 502, 1),
        (
            "unframed-unsafe",
            ServerBehavior::RespondAndClose("HTTP/1.1 200 OK\r\n\r\nran"),
            "pay",
            502,
            1,
        ),
        ("error-safe", RESPONDS_ERROR, "read", 200, 2),
        ("error-unsafe", RESPONDS_ERROR, "pay", 502, 1),
        ("reset-keyed", reset, "submit", 200, 2),
    ];
    for (tag, first, class, status, attempts) in cases {
        // Both servers are in one cell, so that a keyed request may go to either.
        let (servers, _discovery, node) = start_with_two_servers(tag, [1, 1], first, RESPONDS_OK);
        let answer = node.client().exchange(&request_text(tag, class, "20000m"));
        assert_eq!(answer.status(), status, "{tag}");
        for _ in 0..attempts {
            servers.next_request();
        }
        servers.assert_no_more_requests();
    }
}

#[test]
fn keyed_request_is_retried_in_same_cell() {
    let (servers, _discovery, node) = start_with_two_servers(
        "cell",
        [1, 2],
        ServerBehavior::RespondAndClose(""),
        RESPONDS_OK,
    );
    let answer = node
        .client()
        .exchange(&request_text("a", "submit", "20000m"));
    let (first, second) = (servers.next_request(), servers.next_request());
    assert_eq!((answer.status(), first.server), (200, second.server));
    servers.assert_no_more_requests();
}

#[test]
fn non_idempotent_request_is_retried_after_refused_connection() {
    let servers = FakeServers::new();
    let refusing = RefusingAddress::reserve();
    let accepting = servers.start("s-2", &[RESPONDS_OK]);
    let entries = [
        endpoint_entry("s-1", refusing.address, 1, "ready"),
        endpoint_entry("s-2", accepting, 2, "ready"),
    ];
    let discovery = FakeDiscovery::start(&entries);
    let node = EdgeNode::start("refused", discovery.address, &entries);
    let mut client = node.client();
    for number in 0..6 {
        assert_eq!(
            client
                .exchange(&request_text(&format!("r{number}"), "pay", "20000m"))
                .status(),
            200
        );
    }
}

#[test]
fn request_without_response_fails_at_deadline() {
    let (servers, _discovery, node) =
        start_with_one_server("silent", &[ServerBehavior::NeverRespond]);
    let started = Instant::now();
    let answer = node.client().exchange(&request_text("a", "pay", "700m"));
    assert_eq!(
        answer.status(),
        502,
        "a non-idempotent request that may have been executed fails and is not rejected"
    );
    assert!(
        started.elapsed().as_millis() < 20_000,
        "the deadline was not enforced"
    );
    assert!(
        is_closed_in_time(&servers.next_request()),
        "the connection of the attempt is still open"
    );
    servers.assert_no_more_requests();
}

/// A stalled attempt is cancelled and its connection closed before the next attempt is written.
#[test]
fn stalled_attempt_is_cancelled_before_retry() {
    let (servers, _discovery, node) =
        start_with_two_servers("stalled", [1, 1], ServerBehavior::NeverRespond, RESPONDS_OK);
    for (number, class) in ["read", "submit"].into_iter().enumerate() {
        assert_eq!(
            node.client()
                .exchange(&request_text(class, class, "20000m"))
                .status(),
            200
        );
        servers.next_request();
        // The fake server records, when the second attempt arrives, whether the first attempt had
        // ended.
        if number == 0 {
            assert!(servers.next_request().is_only_open_attempt);
        }
    }
}

/// Time for which servers remember idempotency keys in the test below.
const SHORT_WINDOW: Duration = Duration::from_millis(500);

/// Guards against a second execution of a request with an idempotency key: the retry is decided
/// while the servers remember the key, but its connection is established after they forgot it.
#[test]
fn keyed_retry_is_not_written_to_connection_established_after_its_window() {
    let servers = FakeServers::new();
    let first = servers.start("s-1", &[ServerBehavior::NeverRespond]);
    let second = FullBacklog::listen();
    let entries = [endpoint_entry("s-1", first, 1, "ready")];
    let discovery = FakeDiscovery::start(&entries);
    let window_us = format!(r#""windowUs":{}"#, SHORT_WINDOW.as_micros());
    let edit = |config: String| {
        config
            .replace(r#""windowUs":60000000"#, &window_us)
            .replace(
                r#""connectTimeoutUs":250000"#,
                r#""connectTimeoutUs":20000000"#,
            )
    };
    let node = EdgeNode::start_with_edited_config("window", discovery.address, &entries, edit);
    let mut client = node.client();
    client.send(&request_text("a", "submit", "4000m"));
    let first_attempt = servers.next_request();
    let (_, mut watch) = discovery.latest_watch();
    let only_second_is_ready = [
        endpoint_entry("s-1", first, 1, "draining"),
        endpoint_entry("s-2", second.address, 1, "ready"),
    ];
    send_list(&mut watch, &endpoint_list(2, false, &only_second_is_ready));
    node.wait_for_log("endpoint list 2 applied");
    first_attempt
        .stream
        .shutdown(Shutdown::Both)
        .expect("connection is open");
    std::thread::sleep(SHORT_WINDOW);
    let behaviors = Arc::new(Mutex::new(vec![RESPONDS_OK]));
    servers.serve(second.empty(), "s-2", &behaviors);
    let answer = client.read_response().expect("complete response");
    assert_eq!(answer.status(), 502, "the request may have been executed");
    servers.assert_no_more_requests();
}
