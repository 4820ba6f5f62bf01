//! The state of an open request.

use super::*;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn deadline_is_one_client_timeout_after_arrival_and_saturates() {
    let timeout = Duration::from_micros(50);
    let request = Request::new(at(100), timeout, RequestDetails::default());
    assert_eq!(request.deadline(), at(150));
    assert_eq!(request.client_timeout(), timeout);
    assert_eq!(
        Request::new(at(100), Duration::MAX, RequestDetails::default()).deadline(),
        Timestamp::MAX,
        "an overflowing deadline saturates"
    );
}

#[test]
fn numbers_attempts_from_zero_and_allows_cancelling_next_attempt() {
    let mut request = Request::default();
    assert_eq!(request.record_attempt_sent(ServerId(1)), AttemptNumber(0));
    request.record_cancellation();
    assert_eq!(request.cancellable_attempt(), None);
    assert_eq!(request.record_attempt_sent(ServerId(2)), AttemptNumber(1));
    assert_eq!(
        (request.cancellable_attempt(), request.last_server()),
        (Some(AttemptNumber(1)), Some(ServerId(2)))
    );
}
