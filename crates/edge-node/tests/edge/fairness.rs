//! Tests that a client that sends requests at full speed on one connection does not hold up the
//! others.

use super::support::*;

/// Number of requests that the flooding client has sent when the other client sends its request.
const FLOODING_REQUESTS: usize = 200;
/// Number of these that may be served before the request of the other client. The connections take
/// turns, and a turn serves a few requests; without turns, all of them are served first.
const MAX_SERVED_BEFORE: usize = 20;

/// Returns whether a log line reports that a request with an id that begins with `id` has arrived.
fn is_arrival(line: &str, id: &str) -> bool {
    let is_answer = ["served", "refused", "failed", "attempt"];
    line.contains(&format!("request {id}")) && !is_answer.iter().any(|word| line.contains(word))
}

/// Guards against a client that sends small requests at full speed, so that its connection is served
/// hundreds of times before the runtime looks for bytes of other clients. The deadlines of its
/// requests are so short that each request is answered at once, and the other client has just
/// connected, so that its bytes are found only when the runtime looks for the second time.
#[test]
fn connection_with_many_requests_takes_turns_with_others() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let config = runnable_example_config(discovery.address);
    let config = format!("{config}\n[log]\nlevel = \"debug\"\n");
    let mut node = EdgeNode::start_with_toml("turns", &config);
    node.wait_for_log("ready");
    let mut flooding_client = node.client();
    let probe = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";
    assert_eq!(flooding_client.exchange(probe).status(), 200);
    node.suspend();
    let flood: String = (0..FLOODING_REQUESTS)
        .map(|number| example_read_request(&format!("flood-{number}"), "1u"))
        .collect();
    flooding_client.send(&flood);
    let mut other_client = node.client();
    other_client.send(&example_read_request("other", "2000m"));
    node.resume();
    other_client.read_response().expect("final answer");
    drop(flooding_client);
    node.terminate();
    assert!(node.wait().success());
    let log = node.remaining_log();
    let other = log.iter().position(|line| is_arrival(line, "other"));
    let before = log[..other.expect("the request is logged")].iter();
    let served_before = before.filter(|line| is_arrival(line, "flood")).count();
    assert!(
        served_before <= MAX_SERVED_BEFORE,
        "{served_before} requests were served first"
    );
}
