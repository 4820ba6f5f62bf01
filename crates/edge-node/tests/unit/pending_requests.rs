//! Tests the table of requests without a final answer.

use super::*;
use crate::memory::MemoryBudget;
use hyper::Method;

fn request_id(name: &str) -> RequestId {
    RequestId(name.into())
}

fn insert(requests: &PendingRequests, name: &str) {
    let request = UpstreamRequest {
        id: request_id(name),
        method: Method::GET,
        target: "/".to_owned(),
        idempotency_key: None,
        _head_memory: MemoryBudget::new(0).reservation(),
        body: Bytes::new(),
        deadline: Instant::now(),
    };
    let (answer_sender, _answer_receiver) = oneshot::channel();
    requests.insert(
        request_id(name),
        PendingRequest::new(request, None, answer_sender),
    );
}

#[test]
fn attempts_are_numbered_from_zero_until_request_is_removed() {
    let requests = PendingRequests::default();
    insert(&requests, "a");
    let next_number = || {
        requests
            .next_attempt(&request_id("a"))
            .map(|attempt| attempt.number)
    };
    assert_eq!(next_number(), Some(AttemptNumber(0)));
    assert_eq!(next_number(), Some(AttemptNumber(1)));
    assert!(requests.remove(&request_id("a")).is_some());
    assert_eq!(next_number(), None);
    assert!(
        requests.remove(&request_id("a")).is_none(),
        "a request is removed, and thus answered, only once"
    );
}

#[test]
fn oldest_returns_requests_in_order_of_arrival() {
    let requests = PendingRequests::default();
    for name in ["a", "b", "c"] {
        insert(&requests, name);
        std::thread::sleep(Duration::from_millis(1));
    }
    requests.next_attempt(&request_id("b"));
    let oldest = requests.oldest(2);
    let ids_and_attempts: Vec<_> = oldest
        .iter()
        .map(|status| (&*status.id.0, status.attempts))
        .collect();
    assert_eq!(ids_and_attempts, [("a", 0), ("b", 1)]);
    assert!(oldest[0].age > oldest[1].age);
    assert_eq!(requests.len(), 3);
}
