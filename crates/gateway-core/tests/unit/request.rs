//! The state of an open request.

use super::*;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn half_time_is_midway_and_deadline_saturates() {
    assert_eq!(
        Request::new(
            at(100),
            Duration::from_micros(50),
            RequestDetails::default()
        )
        .half_time(),
        at(125)
    );
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
