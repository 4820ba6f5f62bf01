//! Start times of servers, converted from the wall clock, on which discovery reports them, to the
//! node's clock.
//!
//! The wall clock may be stepped, forward or back, while the node's clock runs on. A start time
//! then does not tell by itself whether it was read before or after the step. Of all readings, the
//! one that makes the server youngest is used: a server that is taken for younger than it is only
//! gets fewer requests for a while, and one that is taken for older may be overloaded.

use gateway_core::{ServerId, Timestamp};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

/// Smallest difference between the wall clock and the node's clock that counts as a step of the
/// wall clock, in microseconds. It is longer than a process may be held up between reading both.
const MIN_STEP_US: u64 = 500_000;
/// Number of offsets that are kept; a start time is read with an older one only if the wall clock
/// was stepped more often than this while the server was unknown.
const MAX_OFFSETS: usize = 4;

/// The start times of the listed servers.
pub(super) struct StartTimes {
    /// Differences of the wall clock from the node's clock, in microseconds, the latest last.
    offsets: RefCell<Vec<i64>>,
    converted: RefCell<HashMap<ServerId, ConvertedStart>>,
}

/// A start time on both clocks.
struct ConvertedStart {
    reported: Timestamp,
    started_at: Timestamp,
}

impl Default for StartTimes {
    fn default() -> StartTimes {
        StartTimes {
            offsets: RefCell::new(vec![0]),
            converted: RefCell::default(),
        }
    }
}

impl StartTimes {
    /// Compares the wall clock with the node's clock, and records a step.
    pub(super) fn observe_wall_clock(&self, wall: Timestamp, now: Timestamp) {
        let offset = wall.as_micros() as i64 - now.as_micros() as i64;
        let mut offsets = self.offsets.borrow_mut();
        let is_known = |known: &i64| known.abs_diff(offset) < MIN_STEP_US;
        if offsets.iter().any(is_known) {
            return;
        }
        if offsets.len() == MAX_OFFSETS {
            offsets.remove(0);
        }
        offsets.push(offset);
    }

    /// Returns the time on the node's clock at which a server started that discovery reports as
    /// started at `reported`. The result does not change as long as discovery reports the same.
    pub(super) fn convert(
        &self,
        server: ServerId,
        reported: Timestamp,
        now: Timestamp,
    ) -> Timestamp {
        let mut converted = self.converted.borrow_mut();
        if let Some(known) = converted.get(&server) {
            if known.reported == reported {
                return known.started_at;
            }
        }
        let started_at = self.latest_reading(reported, now);
        let start = ConvertedStart {
            reported,
            started_at,
        };
        converted.insert(server, start);
        started_at
    }

    /// Returns the latest of all readings of a start time that is not in the future; `now` if all
    /// of them are.
    fn latest_reading(&self, reported: Timestamp, now: Timestamp) -> Timestamp {
        let offsets = self.offsets.borrow();
        let readings = offsets.iter().map(|offset| {
            let micros = (reported.as_micros() as i64).saturating_sub(*offset);
            Timestamp::from_micros(micros.max(0) as u64)
        });
        readings
            .filter(|reading| *reading <= now)
            .max()
            .unwrap_or(now)
    }

    /// Forgets the servers that are missing from a snapshot.
    pub(super) fn retain_listed(&self, listed: &HashSet<ServerId>) {
        let mut converted = self.converted.borrow_mut();
        converted.retain(|server, _| listed.contains(server));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/start_times.rs"]
mod tests;
