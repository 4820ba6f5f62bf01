//! Tests that requests wait, are retried and are rejected according to the time of their clients,
//! where late answers earn the operator nothing.

use super::start_with_one_server_and_config;
use super::support::*;
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

/// Time after which servers answer, which is longer than the latency objective of 400 ms.
const LATE: Duration = Duration::from_millis(500);
const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks";

/// Starts an edge node with one server, whose classes have a late weight of 0.
fn start_with_worthless_late_answers(
    tag: &str,
    behaviors: &[ServerBehavior],
) -> (FakeServers, FakeDiscovery, EdgeNode) {
    start_with_one_server_and_config(tag, behaviors, |config| {
        config.replace(r#""lateValue":0.2"#, r#""lateValue":0.0"#)
    })
}

/// The client of a payment waits for 20 s. Cancelled at the objective, it would not know whether its
/// payment was executed.
#[test]
fn payment_answered_after_its_objective_is_served() {
    let (servers, _discovery, node) =
        start_with_worthless_late_answers("late-pay", &[ServerBehavior::NeverRespond]);
    let mut client = node.client();
    client.send(&request_text("a", "pay", "20000m"));
    let mut received = servers.next_request();
    std::thread::sleep(LATE);
    received
        .stream
        .write_all(OK_RESPONSE)
        .expect("the attempt is in flight");
    assert_eq!(client.read_response().expect("a response").status(), 200);
    servers.assert_no_more_requests();
}

/// The client of a read waits for 20 s, so an attempt that fails after the objective is followed by
/// another one.
#[test]
fn read_that_fails_after_its_objective_is_retried() {
    let (servers, _discovery, node) = start_with_worthless_late_answers(
        "late-read",
        &[ServerBehavior::NeverRespond, RESPONDS_OK],
    );
    let mut client = node.client();
    client.send(&request_text("a", "read", "20000m"));
    let received = servers.next_request();
    // An answer to another read shows that the server is not stalled.
    let other_read = request_text("b", "read", "20000m");
    assert_eq!(node.client().exchange(&other_read).status(), 200);
    servers.next_request();
    std::thread::sleep(LATE);
    received
        .stream
        .shutdown(Shutdown::Both)
        .expect("the attempt is in flight");
    assert_eq!(client.read_response().expect("a response").status(), 200);
    assert_eq!(servers.next_request().message.header("x-request-id"), "a");
}

/// The plan refills one unit in 2 s. Told a shorter time, the client would return in vain.
#[test]
fn rejected_client_is_told_when_its_units_are_refilled() {
    let (_servers, _discovery, node) = start_with_worthless_late_answers("told", &[RESPONDS_OK]);
    let mut client = node.client();
    let request = |id: &str| request_text(id, "read", "20000m").replace("Tier: p", "Tier: tiny");
    assert_eq!(client.exchange(&request("a")).status(), 200);
    let rejection = client.exchange(&request("b"));
    assert_eq!(rejection.status(), 503);
    let retry_after: f64 = rejection.header("retry-after").parse().expect("a number");
    assert!((0.1..=2.0).contains(&retry_after), "{retry_after} s");
    std::thread::sleep(Duration::from_secs_f64(retry_after));
    assert_eq!(client.exchange(&request("c")).status(), 200);
}
