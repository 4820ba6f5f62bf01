//! Tests the kind of failure, which determines the backoff, for each way in which a watch ends.

use super::*;

#[test]
fn rejected_and_malformed_watches_count_as_rejected_and_others_as_lost() {
    let rejected = WatchError::Rejected(StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(rejected.failure(), WatchFailure::Rejected);
    assert_eq!(WatchError::Malformed.failure(), WatchFailure::Rejected);
    assert_eq!(WatchError::Silent.failure(), WatchFailure::ConnectionLost);
    assert_eq!(WatchError::Ended.failure(), WatchFailure::ConnectionLost);
}
