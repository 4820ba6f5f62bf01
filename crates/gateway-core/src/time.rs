//! Instants, and durations as the floating-point numbers that rules calculate with.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;
/// The same as a whole number.
const WHOLE_MICROS_PER_SECOND: u64 = 1_000_000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// An instant, in whole microseconds since an epoch that the embedding program chooses. All gateways
/// of a fleet, and discovery, have to use the same one: they compare the times of starts.
///
/// Arithmetic saturates at [`Timestamp::EPOCH`] and [`Timestamp::MAX`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The first instant of the clock.
    pub const EPOCH: Timestamp = Timestamp(0);
    /// The last instant, which stands for never.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// The instant this many microseconds after the epoch.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Whole microseconds since the epoch.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Microseconds since the epoch, for calculations.
    pub(crate) fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// Time since an earlier instant; zero if that instant is later.
    #[must_use]
    pub const fn duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Milliseconds since the epoch modulo 2^32, which identify the start of a gateway in messages.
    pub(crate) fn as_incarnation(self) -> u32 {
        (self.0 / MICROS_PER_MILLISECOND) as u32
    }

    /// Whole microseconds since an earlier instant; zero if that instant is later.
    pub(crate) const fn whole_micros_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Microseconds since an earlier instant; zero if that instant is later.
    pub(crate) fn micros_since(self, earlier: Timestamp) -> f64 {
        self.0.saturating_sub(earlier.0) as f64
    }

    /// Seconds since an earlier instant; zero if that instant is later.
    pub(crate) fn seconds_since(self, earlier: Timestamp) -> f64 {
        self.micros_since(earlier) / MICROS_PER_SECOND
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.whole_micros()))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.whole_micros()))
    }
}

/// Conversions between durations and the numbers that rules calculate with.
///
/// They round once, unlike [`Duration::as_secs_f64`], which adds two rounded parts.
pub trait DurationExt {
    /// Whole microseconds, at most [`u64::MAX`].
    fn whole_micros(&self) -> u64;

    /// Whole microseconds, for calculations.
    fn as_micros_f64(&self) -> f64;

    /// Seconds, calculated from whole microseconds.
    fn as_seconds(&self) -> f64;

    /// A duration of this many microseconds, rounded down; a negative number counts as 0.
    fn from_micros_f64(micros: f64) -> Self;
}

impl DurationExt for Duration {
    fn whole_micros(&self) -> u64 {
        // In 64 bits throughout: rules convert durations for each server and request.
        self.as_secs()
            .saturating_mul(WHOLE_MICROS_PER_SECOND)
            .saturating_add(u64::from(self.subsec_micros()))
    }

    fn as_micros_f64(&self) -> f64 {
        self.whole_micros() as f64
    }

    fn as_seconds(&self) -> f64 {
        self.as_micros_f64() / MICROS_PER_SECOND
    }

    fn from_micros_f64(micros: f64) -> Duration {
        Duration::from_micros(micros as u64)
    }
}
