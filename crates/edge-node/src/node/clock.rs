//! The clock whose time is passed to the decision library with each event, and which converts the
//! times in its actions.

use gateway_core::Timestamp;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that shows Unix time in microseconds: the wall clock is read once, and the
/// time elapsed since then is added.
///
/// Discovery reports the start times of servers on the wall clock, which `start_times` converts.
pub(super) struct Clock {
    started: Instant,
    unix_at_start: Timestamp,
}

impl Clock {
    /// Reads the wall clock once.
    pub(super) fn start() -> Clock {
        Clock {
            started: Instant::now(),
            unix_at_start: wall_clock_time(),
        }
    }

    /// Returns the current Unix time.
    pub(super) fn now(&self) -> Timestamp {
        self.unix_at_start + self.started.elapsed()
    }

    /// Returns the instant at which this clock shows `time`; a time before its start is taken as
    /// the start. Returns `None` for a time that is too far in the future to be represented.
    pub(super) fn instant_of(&self, time: Timestamp) -> Option<Instant> {
        let since_start = time.duration_since(self.unix_at_start);
        self.started.checked_add(since_start)
    }
}

/// Returns the time of the wall clock, which may be stepped. A time before 1970 is taken as the
/// start of 1970.
pub(super) fn wall_clock_time() -> Timestamp {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Timestamp::EPOCH + unix
}

#[cfg(test)]
#[path = "../../tests/unit/clock.rs"]
mod tests;
