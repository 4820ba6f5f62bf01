//! Tests valid requests that the edge node answers without an attempt.

use super::start_with_one_server;
use super::support::*;
use std::time::Instant;

#[test]
fn rejects_request_id_in_use() {
    let (servers, _discovery, node) =
        start_with_one_server("twice", &[ServerBehavior::NeverRespond]);
    let mut first = node.client();
    first.send(&request_text("same", "pay", "20000m"));
    let received = servers.next_request();
    assert_eq!(
        node.client()
            .exchange(&request_text("same", "pay", "20000m"))
            .status(),
        400
    );
    drop(first);
    assert!(is_closed_in_time(&received));
    servers.assert_no_more_requests();
}

#[test]
fn rejects_customer_over_quota_immediately() {
    let (servers, _discovery, node) = start_with_one_server("quota", &[RESPONDS_OK]);
    let mut client = node.client();
    let small_quota_request =
        |id: &str| request_text(id, "read", "25000m").replace("X-Tier: p", "X-Tier: tiny");
    assert_eq!(client.exchange(&small_quota_request("a")).status(), 200);
    servers.next_request();
    let started = Instant::now();
    let mut rejection = client.exchange(&small_quota_request("b"));
    for number in 0..3 {
        rejection = client.exchange(&small_quota_request(&format!("c{number}")));
    }
    assert_eq!(rejection.status(), 503);
    let retry_after: f64 = rejection
        .header("retry-after")
        .parse()
        .expect("retry-after is not a number");
    assert!(retry_after > 0.0 && retry_after < 60.0, "{retry_after}");
    assert!(
        started.elapsed().as_secs() < 20,
        "the rejection waited for the deadline"
    );
}
