//! Tests the conversion between the clock's time and instants.

use super::*;
use std::time::Duration;

#[test]
fn converts_time_to_instant_at_which_clock_shows_it() {
    let clock = Clock {
        started: Instant::now(),
        unix_at_start: Timestamp::from_micros(5_000_000),
    };
    for (micros, since_start) in [(5_000_000, 0), (5_250_000, 250), (1_000_000, 0)] {
        assert_eq!(
            clock.instant_of(Timestamp::from_micros(micros)),
            Some(clock.started + Duration::from_millis(since_start))
        );
    }
}
