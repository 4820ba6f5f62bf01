//! Tests when a connection is closed, for each activity on it.

use super::super::transfers::ReceivedSpan;
use super::*;

const NO_REQUESTS: CloseRequests = CloseRequests {
    is_closing: false,
    is_evicted: false,
    answer_limit: None,
};
const CLOSING: CloseRequests = CloseRequests {
    is_closing: true,
    is_evicted: false,
    answer_limit: None,
};
const EVICTED: CloseRequests = CloseRequests {
    is_closing: false,
    is_evicted: true,
    answer_limit: None,
};

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

#[test]
fn idle_connection_is_closed_after_timeout_and_at_once_if_requested() {
    let start = Instant::now();
    let idle = Activity::Idle { since: start };
    let check_after = |milliseconds, requests| {
        let now = after(start, milliseconds);
        check(idle, start, true, requests, now)
    };
    assert_eq!(
        check_after(2199, NO_REQUESTS),
        Verdict::CheckAt(after(start, 2200))
    );
    assert_eq!(
        check_after(2200, NO_REQUESTS),
        Verdict::Close(CloseReason::Idle)
    );
    assert_eq!(
        check_after(0, CLOSING),
        Verdict::Close(CloseReason::Shutdown)
    );
    assert_eq!(
        check_after(0, EVICTED),
        Verdict::Close(CloseReason::Evicted)
    );
}

/// Guards against a request that is closed without an answer because the time is counted from the
/// previous response.
#[test]
fn incomplete_request_has_time_from_its_first_byte() {
    let start = Instant::now();
    let begin = after(start, 2100);
    let receiving = Activity::Receiving(ReceivedSpan {
        first: begin,
        last: after(start, 2300),
    });
    for requests in [NO_REQUESTS, CLOSING] {
        let now = after(start, 2300);
        let later_request = check(receiving, start, true, requests, now);
        assert_eq!(later_request, Verdict::CheckAt(after(begin, 2800)));
        let first_request = check(receiving, start, false, requests, now);
        assert_eq!(first_request, Verdict::CheckAt(after(start, 2800)));
    }
    let expired = check(receiving, start, true, NO_REQUESTS, after(begin, 2800));
    assert_eq!(expired, Verdict::Close(CloseReason::IncompleteRequest));
    let limited = CloseRequests {
        answer_limit: Some(after(start, 2500)),
        ..CLOSING
    };
    for (now, expected) in [
        (2499, Verdict::CheckAt(after(start, 2500))),
        (2500, Verdict::Close(CloseReason::Shutdown)),
    ] {
        assert_eq!(
            check(receiving, start, true, limited, after(start, now)),
            expected
        );
    }
}

#[test]
fn connection_with_request_in_flight_is_never_closed() {
    let now = Instant::now();
    for requests in [NO_REQUESTS, CLOSING, EVICTED] {
        let verdict = check(Activity::InFlight, now, true, requests, now);
        assert!(matches!(verdict, Verdict::CheckAt(time) if time > now));
    }
}

#[test]
fn unwritten_response_is_given_up_only_after_timeout_or_for_eviction() {
    let start = Instant::now();
    let blocked = Activity::WriteBlocked { since: start };
    for (requests, expected) in [
        (NO_REQUESTS, Verdict::CheckAt(after(start, 2200))),
        (CLOSING, Verdict::CheckAt(after(start, 2200))),
        (EVICTED, Verdict::Close(CloseReason::Evicted)),
    ] {
        assert_eq!(check(blocked, start, true, requests, start), expected);
    }
    let expired = check(blocked, start, true, NO_REQUESTS, after(start, 2200));
    assert_eq!(expired, Verdict::Close(CloseReason::Idle));
}

/// Guards against an unread response that keeps the process from exiting.
#[test]
fn unwritten_response_is_given_up_soon_after_answer_limit() {
    let start = Instant::now();
    let limited = CloseRequests {
        answer_limit: Some(after(start, 1000)),
        ..CLOSING
    };
    let check_written_at = |written, now| {
        let blocked = Activity::WriteBlocked {
            since: after(start, written),
        };
        check(blocked, start, true, limited, after(start, now))
    };
    let closed = Verdict::Close(CloseReason::Shutdown);
    assert_eq!(
        check_written_at(0, 999),
        Verdict::CheckAt(after(start, 1000))
    );
    assert_eq!(check_written_at(0, 1000), closed);
    assert_eq!(
        check_written_at(1000, 1099),
        Verdict::CheckAt(after(start, 1100))
    );
    assert_eq!(check_written_at(1000, 1100), closed);
}

/// The pages owe clients that stop an answer within 3 s, from the connection for its first request.
#[test]
fn body_must_arrive_in_the_time_of_its_request() {
    let accepted = Instant::now();
    let first_byte = after(accepted, 1000);
    let deadline = |has_earlier_requests, now| {
        body_deadline(
            first_byte,
            accepted,
            has_earlier_requests,
            after(accepted, now),
        )
    };
    assert_eq!(deadline(false, 1100), after(accepted, 2800));
    assert_eq!(deadline(true, 1100), after(accepted, 3800));
    assert_eq!(
        deadline(false, 2700),
        after(accepted, 3300),
        "a body whose head has taken long still has 600 ms"
    );
}
