//! How the backoff treats the ways in which a watch ends.

use super::*;

#[test]
fn discovery_that_serves_and_is_not_understood_counts_as_a_rejection() {
    let rejected = WatchError::Rejected(StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(rejected.failure(), WatchFailure::Rejected);
    assert_eq!(WatchError::Malformed.failure(), WatchFailure::Rejected);
    assert_eq!(WatchError::Silent.failure(), WatchFailure::ConnectionLost);
    assert_eq!(WatchError::Ended.failure(), WatchFailure::ConnectionLost);
}
