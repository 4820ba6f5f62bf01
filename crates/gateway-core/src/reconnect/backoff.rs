//! The exponential backoff between watches on discovery.

use super::WatchFailure;
use std::time::Duration;

/// Upper bound of every backoff, reached after rejections: an overloaded discovery rejects watches
/// for as long as they are opened faster than it can serve them.
pub(super) const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Upper bound of the first backoff.
const MAX_INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Drain grace divided by the initial backoff.
const INITIAL_BACKOFFS_PER_GRACE: u32 = 40;
/// Drain grace divided by the longest backoff after a lost connection.
const LONGEST_BACKOFFS_PER_GRACE: u32 = 16;

/// State of an exponential backoff, before jitter.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    /// Backoff after the first failure.
    initial: Duration,
    /// Longest backoff after a lost connection.
    longest_after_loss: Duration,
    /// Backoff after the next failure, unless the longest backoff for that failure is shorter.
    next: Duration,
}

impl Backoff {
    pub(super) fn new(drain_grace: Duration) -> Backoff {
        let initial = (drain_grace / INITIAL_BACKOFFS_PER_GRACE).min(MAX_INITIAL_BACKOFF);
        Backoff {
            initial,
            longest_after_loss: (drain_grace / LONGEST_BACKOFFS_PER_GRACE).min(MAX_BACKOFF),
            next: initial,
        }
    }

    pub(super) fn reset(&mut self) {
        self.next = self.initial;
    }

    /// Returns the backoff after a failure, and doubles the next backoff up to the longest backoff
    /// for this failure.
    pub(super) fn advance(&mut self, failure: WatchFailure) -> Duration {
        let longest = match failure {
            WatchFailure::ConnectionLost => self.longest_after_loss,
            WatchFailure::Rejected => MAX_BACKOFF,
        };
        let backoff = self.next.min(longest);
        self.next = (self.next * 2).min(longest);
        backoff
    }
}
