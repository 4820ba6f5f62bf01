//! The table of requests without a final answer.

use super::*;
use hyper::Method;

fn id(name: &str) -> RequestId {
    RequestId(name.into())
}

fn insert(requests: &PendingRequests, name: &str) {
    let request = UpstreamRequest {
        id: id(name),
        method: Method::GET,
        target: "/".to_owned(),
        idempotency_key: None,
        body: Bytes::new(),
        deadline: Instant::now(),
    };
    let (answer, _answered) = oneshot::channel();
    requests.insert(id(name), PendingRequest::new(request, None, answer));
}

#[test]
fn attempts_are_numbered_from_zero_until_the_request_is_removed() {
    let requests = PendingRequests::default();
    insert(&requests, "a");
    let number = || {
        requests
            .next_attempt(&id("a"))
            .map(|attempt| attempt.number)
    };
    assert_eq!(number(), Some(AttemptNumber(0)));
    assert_eq!(number(), Some(AttemptNumber(1)));
    assert!(requests.remove(&id("a")).is_some());
    assert_eq!(number(), None);
    assert!(
        requests.remove(&id("a")).is_none(),
        "only one has the right to answer"
    );
}

#[test]
fn the_oldest_requests_come_first() {
    let requests = PendingRequests::default();
    for name in ["a", "b", "c"] {
        insert(&requests, name);
        std::thread::sleep(Duration::from_millis(1));
    }
    requests.next_attempt(&id("b"));
    let oldest = requests.oldest(2);
    let shown: Vec<_> = oldest
        .iter()
        .map(|status| (&*status.id.0, status.attempts))
        .collect();
    assert_eq!(shown, [("a", 0), ("b", 1)]);
    assert!(oldest[0].age > oldest[1].age);
    assert_eq!(requests.len(), 3);
}
