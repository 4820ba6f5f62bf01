//! Instants, and conversions of durations from and to floating-point numbers.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds in a second, for floating-point calculations.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;
/// Microseconds in a second, for integer arithmetic.
const WHOLE_MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// An instant, in whole microseconds since an epoch that the embedding program chooses. All
/// gateways of a fleet and discovery have to use the same epoch, because they compare the start
/// times of gateways and servers.
///
/// Arithmetic saturates at [`Timestamp::EPOCH`] and [`Timestamp::MAX`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The first instant of the clock.
    pub const EPOCH: Timestamp = Timestamp(0);
    /// The last instant of the clock, which means "never".
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Returns the instant this many microseconds after the epoch.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Returns the whole microseconds since the epoch.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since an earlier instant; zero if that instant is later.
    #[must_use]
    pub const fn duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the milliseconds since the epoch modulo 2^32: the incarnation of a gateway that
    /// started at this instant, as messages state it.
    pub(crate) fn as_incarnation(self) -> u32 {
        (self.0 / MICROS_PER_MILLISECOND) as u32
    }

    /// Returns the whole microseconds since an earlier instant; zero if that instant is later.
    pub(crate) const fn whole_micros_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the microseconds since an earlier instant, for floating-point calculations; zero if
    /// that instant is later.
    pub(crate) fn micros_since(self, earlier: Timestamp) -> f64 {
        self.0.saturating_sub(earlier.0) as f64
    }

    /// Returns the seconds since an earlier instant; zero if that instant is later.
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

/// Conversions of durations from and to integers and floating-point numbers.
///
/// Each conversion rounds once, unlike [`Duration::as_secs_f64`], which adds two rounded parts.
pub trait DurationExt {
    /// Returns the whole microseconds, at most [`u64::MAX`].
    fn whole_micros(&self) -> u64;

    /// Returns the whole microseconds, for floating-point calculations.
    fn as_micros_f64(&self) -> f64;

    /// Returns the seconds, calculated from whole microseconds.
    fn as_seconds(&self) -> f64;

    /// Returns a duration of this many microseconds, rounded down; a negative number counts as 0.
    fn from_micros_f64(micros: f64) -> Self;
}

impl DurationExt for Duration {
    fn whole_micros(&self) -> u64 {
        // Avoids the 128-bit result of `as_micros`, because durations are converted for each
        // server and request.
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
