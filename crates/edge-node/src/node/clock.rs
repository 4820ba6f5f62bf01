//! The clock of the decision module.

use gateway_core::Micros;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time in microseconds that never goes back: the wall clock is read once, and a monotonic clock adds to it.
///
/// Discovery tells when servers started in Unix time, so that its times need no conversion but of units.
pub(super) struct Clock {
    started: Instant,
    unix_at_start: Micros,
}

impl Clock {
    /// Reads the wall clock; a wall clock before 1970 counts as 1970.
    pub(super) fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_at_start: unix.as_micros() as Micros,
        }
    }

    /// The time now, in microseconds since 1970.
    pub(super) fn now(&self) -> Micros {
        self.unix_at_start + self.started.elapsed().as_micros() as Micros
    }
}
