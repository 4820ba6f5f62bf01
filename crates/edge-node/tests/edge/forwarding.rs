//! Tests the requests and responses that the edge node forwards between clients and servers.

use super::start_with_one_server;
use super::support::*;
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

#[test]
fn forwards_requests_unchanged_over_pooled_connection() {
    let (servers, _discovery, node) = start_with_one_server("plain", &[RESPONDS_OK]);
    let mut client = node.client();
    assert_eq!(
        client
            .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
            .status(),
        200
    );
    for (number, class) in ["read", "submit", "pay"].into_iter().enumerate() {
        let answer = client.exchange(&request_text(class, class, "20000m"));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"ranks"[..]));
        let received = servers.next_request();
        let method = if class == "read" { "GET" } else { "POST" };
        let start = format!("{method} /{class}/00000000b4d65521?game=7 HTTP/1.1");
        assert_eq!(received.message.start_line, start);
        assert_eq!(received.message.header("x-request-id"), class);
        assert!(received.message.header("x-deadline").ends_with('m'));
        assert_eq!(
            received.message.body,
            if class == "read" { &b""[..] } else { b"time" }
        );
        let key = if class == "submit" { "5c0f6e1a" } else { "" };
        assert_eq!(received.message.header("idempotency-key"), key);
        assert_eq!(
            received.connection, 0,
            "request {number} opened a connection of its own"
        );
        // A connection is not used again immediately after a response.
        std::thread::sleep(Duration::from_millis(100));
    }
    servers.assert_no_more_requests();
}

/// Informational responses before the final response, and a load report that can't be parsed, are
/// ignored.
#[test]
fn ignores_informational_responses_and_malformed_load_report() {
    let informational_first =
        "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Load: \
                 inflight=x,,=\r\nContent-Length: 5\r\n\r\nranks";
    let (servers, _discovery, node) =
        start_with_one_server("ahead", &[ServerBehavior::Respond(informational_first)]);
    let answer = node.client().exchange(&request_text("a", "pay", "20000m"));
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"ranks"[..]));
    servers.next_request();
}

/// A malformed response fails the attempt, whose request may have been executed, and its connection
/// is closed.
#[test]
fn malformed_response_fails_request_and_closes_connection() {
    let cases = [
        ("noise", "\u{1}\u{2}noise\r\n\r\n"),
        (
            "status",
            "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nranks",
        ),
        (
            "length",
            "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nranks",
        ),
        (
            "lengths",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nranks",
        ),
        (
            "huge",
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nranks",
        ),
        (
            "chunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nranks",
        ),
        ("unframed", "HTTP/1.1 200 OK\r\n\r\nranks"),
        (
            "switch",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: noise\r\n\r\n",
        ),
    ];
    for (tag, response) in cases {
        let (servers, _discovery, node) =
            start_with_one_server(tag, &[ServerBehavior::Respond(response), RESPONDS_OK]);
        let mut client = node.client();
        assert_eq!(
            client
                .exchange(&request_text("a", "pay", "20000m"))
                .status(),
            502,
            "{tag}"
        );
        assert!(is_closed_in_time(&servers.next_request()), "{tag}");
        let answer = client.exchange(&request_text("b", "pay", "20000m"));
        assert_eq!(
            (answer.status(), servers.next_request().connection),
            (200, 1),
            "{tag}"
        );
    }
}

/// Large bodies are forwarded in both directions while the memory budget allows.
#[test]
fn forwards_large_bodies_in_both_directions() {
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n{}",
        "r".repeat(400_000)
    );
    let (servers, _discovery, node) = start_with_one_server(
        "large",
        &[ServerBehavior::Respond(Box::leak(
            response.into_boxed_str(),
        ))],
    );
    let mut client = node.client();
    let request_end = format!("Length: 300000\r\n\r\n{}", "t".repeat(300_000));
    for id in ["a", "b"] {
        let answer = client.exchange(
            &request_text(id, "pay", "20000m").replace("Length: 4\r\n\r\ntime", &request_end),
        );
        assert_eq!((answer.status(), answer.body.len()), (200, 400_000));
        assert_eq!(servers.next_request().message.body.len(), 300_000);
    }
}

/// A connection that the server closed while it was idle is not used again: the request would end
/// with a reset.
#[test]
fn idle_connection_closed_by_server_is_not_reused() {
    let (servers, _discovery, node) = start_with_one_server("idle", &[RESPONDS_OK]);
    let mut client = node.client();
    assert_eq!(
        client
            .exchange(&request_text("a", "pay", "20000m"))
            .status(),
        200
    );
    let received = servers.next_request();
    received
        .stream
        .shutdown(Shutdown::Both)
        .expect("the connection is not open");
    // The edge node closes its side as soon as it detects the close.
    assert!(is_closed_in_time(&received));
    let answer = client.exchange(&request_text("b", "pay", "20000m"));
    assert_eq!(
        (answer.status(), servers.next_request().connection),
        (200, 1)
    );
}

/// Time for which a server holds the first request in the test below.
const HOLD_TIME: Duration = Duration::from_millis(1000);
/// What a deadline told to a server may exceed the time that its client has left.
const DEADLINE_SLACK_MS: u128 = 150;

/// Guards against a request that was sent behind an open one and whose time begins only when that one
/// is answered, so that its server is told more time than the client has left.
#[test]
fn time_of_request_behind_open_one_runs_from_its_arrival() {
    let (servers, _discovery, node) =
        start_with_one_server("behind-time", &[ServerBehavior::NeverRespond, RESPONDS_OK]);
    let mut client = node.client();
    client.send(&(request_text("a", "pay", "20000m") + &request_text("b", "pay", "20000m")));
    let mut held = servers.next_request();
    std::thread::sleep(HOLD_TIME);
    held.stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("attempt is in flight");
    for _ in 0..2 {
        assert_eq!(
            client.read_response().map(|answer| answer.status()),
            Some(200)
        );
    }
    let second = servers.next_request();
    let told = second.message.header("x-deadline").trim_end_matches('m');
    let told: u128 = told.parse().expect("deadline in milliseconds");
    assert!(
        told <= 20_000 - HOLD_TIME.as_millis() + DEADLINE_SLACK_MS,
        "{told}"
    );
}

/// Pause between two parts of a body. The body takes longer than a second and less than the time
/// within which a request must be complete.
const PART_PAUSE: Duration = Duration::from_millis(500);

/// A client on a slow link has time for its answer, so its body is read while it sends.
#[test]
fn body_of_slow_client_is_read_while_its_client_sends() {
    let (servers, _discovery, node) = start_with_one_server("slow-body", &[RESPONDS_OK]);
    let mut client = node.client();
    for id in ["first", "second"] {
        let request = request_text(id, "pay", "20000m");
        let (head, body) = request.split_at(request.len() - 4);
        client.send(head);
        for part in body.split("").filter(|part| !part.is_empty()).take(3) {
            std::thread::sleep(PART_PAUSE);
            client.send(part);
        }
        client.send(&body[3..]);
        let answer = client.read_response().expect("complete response");
        assert_eq!(answer.status(), 200, "{id}");
        assert_eq!(servers.next_request().message.body, b"time");
    }
}
