//! The table of attempts in flight.

use super::*;
use tokio::sync::oneshot::error::TryRecvError;

fn id() -> RequestId {
    RequestId("r".into())
}

#[test]
fn an_attempt_is_cancelled_by_its_own_number_alone() {
    let attempts = InFlightAttempts::default();
    let mut cancelled = attempts.insert(id(), AttemptNumber(1));
    attempts.cancel(&id(), AttemptNumber(0));
    assert_eq!(cancelled.try_recv(), Err(TryRecvError::Empty));
    assert!(attempts.contains(&id()));
    attempts.cancel(&id(), AttemptNumber(1));
    assert_eq!(cancelled.try_recv(), Err(TryRecvError::Closed));
    assert!(!attempts.contains(&id()));
}

#[test]
fn an_attempt_ends_by_the_earlier_of_its_timeout_and_its_requests_deadline() {
    let request_deadline = Instant::now() + Duration::from_secs(60);
    assert_eq!(attempt_deadline(None, request_deadline), request_deadline);
    assert_eq!(
        attempt_deadline(Some(Duration::MAX), request_deadline),
        request_deadline
    );
    let own = attempt_deadline(Some(Duration::from_secs(1)), request_deadline);
    assert!(own < request_deadline && own > Instant::now());
}
