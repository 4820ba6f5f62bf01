//! Tests the table of attempts in flight and the deadline of an attempt.

use super::*;
use tokio::sync::oneshot::error::TryRecvError;

fn request_id() -> RequestId {
    RequestId("r".into())
}

#[test]
fn cancel_ends_only_attempt_with_matching_number() {
    let attempts = InFlightAttempts::default();
    let mut cancelled = attempts.insert(request_id(), AttemptNumber(1));
    attempts.cancel(&request_id(), AttemptNumber(0));
    assert_eq!(cancelled.try_recv(), Err(TryRecvError::Empty));
    assert!(attempts.contains(&request_id()));
    attempts.cancel(&request_id(), AttemptNumber(1));
    assert_eq!(cancelled.try_recv(), Err(TryRecvError::Closed));
    assert!(!attempts.contains(&request_id()));
}

#[test]
fn attempt_deadline_is_earlier_of_timeout_and_request_deadline() {
    let request_deadline = Instant::now() + Duration::from_secs(60);
    assert_eq!(attempt_deadline(None, request_deadline), request_deadline);
    assert_eq!(
        attempt_deadline(Some(Duration::MAX), request_deadline),
        request_deadline
    );
    let timeout_deadline = attempt_deadline(Some(Duration::from_secs(1)), request_deadline);
    assert!(timeout_deadline < request_deadline && timeout_deadline > Instant::now());
}
