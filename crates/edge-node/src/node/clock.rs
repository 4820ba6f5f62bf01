//! The clock by which the decision library is called.

use gateway_core::Timestamp;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time in microseconds that never goes back: the wall clock is read once, and a monotonic
/// clock adds to it.
///
/// Discovery reports when servers started in Unix time, so that its times need no conversion but of
/// units.
pub(super) struct Clock {
    started: Instant,
    unix_at_start: Timestamp,
}

impl Clock {
    /// Reads the wall clock. A time before 1970 counts as 1970.
    pub(super) fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_at_start: Timestamp::EPOCH + unix,
        }
    }

    /// The time now, since 1970.
    pub(super) fn now(&self) -> Timestamp {
        self.unix_at_start + self.started.elapsed()
    }
}
