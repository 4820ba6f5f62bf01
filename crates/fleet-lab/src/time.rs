//! Conversions between timestamps, durations and plain numbers, and random draws of times.
//!
//! All times of the lab are whole microseconds, the resolution in which gateways calculate.

use gateway_core::{DurationExt, Timestamp};
use rand::Rng;
use std::ops::Range;
use std::time::Duration;

/// One microsecond, the resolution of all timestamps and durations.
pub(crate) const MICROSECOND: Duration = Duration::from_micros(1);
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;

/// Converts seconds to a duration, rounded to whole microseconds.
pub(crate) fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::from_micros((seconds * MICROS_PER_SECOND).round() as u64)
}

/// Returns the seconds from `since` to `now`; 0 if `now` is not later than `since`.
pub(crate) fn seconds_between(since: Timestamp, now: Timestamp) -> f64 {
    now.duration_since(since).as_seconds()
}

/// Draws a duration of whole microseconds, uniformly distributed over `range`.
pub(crate) fn draw_duration(rng: &mut impl Rng, range: &Range<Duration>) -> Duration {
    let micros = range.start.whole_micros()..range.end.whole_micros();
    Duration::from_micros(rng.random_range(micros))
}

/// Draws a timestamp of whole microseconds, uniformly distributed over `range`.
pub(crate) fn draw_timestamp(rng: &mut impl Rng, range: Range<Timestamp>) -> Timestamp {
    let micros = range.start.as_micros()..range.end.as_micros();
    Timestamp::from_micros(rng.random_range(micros))
}

/// Serializes a duration as its number of whole microseconds.
pub(crate) fn serialize_whole_micros<S: serde::Serializer>(
    duration: &Duration,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(duration.whole_micros())
}
