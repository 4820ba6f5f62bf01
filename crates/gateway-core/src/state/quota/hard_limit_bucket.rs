//! The token bucket of a hard limit.

use crate::settings::HardLimit;
use crate::time::{DurationExt, MICROS_PER_SECOND};
use crate::units::Units;
use std::time::Duration;

/// The units that remain of a fixed fraction of a hard limit.
///
/// The bucket starts empty and depends on no message, so the limit holds despite lost messages and
/// restarts. Its drawback is that fractions at other gateways stay unused if nearly all requests of
/// a customer arrive at one gateway.
pub(crate) struct HardLimitBucket {
    tokens: Units,
    /// Fraction of the limit's rate and capacity that this bucket has.
    fraction: f64,
    /// How long units granted from the bucket may be used; zero for immediate use.
    grant_lifetime: Duration,
}

impl HardLimitBucket {
    /// Creates an empty bucket for a fraction of a hard limit. `grant_lifetime` is how long units
    /// granted from the bucket may be used; zero for immediate use.
    pub(crate) fn empty(fraction: f64, grant_lifetime: Duration) -> Self {
        HardLimitBucket {
            tokens: Units::ZERO,
            fraction,
            grant_lifetime,
        }
    }

    /// Returns the units that may be used; negative if usage is ahead of the limit.
    pub(crate) fn tokens(&self) -> Units {
        self.tokens
    }

    /// Adds the units that the bucket's fraction of the limit allows in `seconds`.
    pub(crate) fn refill(&mut self, limit: &HardLimit, seconds: f64) {
        let refill = Units::refilled(limit.rate * self.fraction, seconds);
        self.tokens = (self.tokens + refill).min(self.max_tokens(limit));
    }

    /// Returns whether a refill would add nothing.
    pub(crate) fn is_full(&self, limit: &HardLimit) -> bool {
        self.tokens >= self.max_tokens(limit)
    }

    /// Returns the units in a full bucket: the fraction of the capacity, less the units refilled
    /// during the lifetime of a grant. Those are reserved, so that units used late, before their
    /// grant expires, do not take usage above the whole capacity.
    fn max_tokens(&self, limit: &HardLimit) -> Units {
        let reserved = limit.rate * self.grant_lifetime.as_micros_f64() / MICROS_PER_SECOND;
        (limit.capacity - Units::new(reserved)) * self.fraction
    }

    /// Takes units; the bucket may go negative.
    pub(crate) fn take(&mut self, units: Units) {
        self.tokens -= units;
    }

    /// Puts back units that were taken and not used.
    pub(crate) fn put_back(&mut self, units: Units) {
        self.tokens += units;
    }

    /// Replaces the units in the bucket.
    pub(crate) fn set_tokens(&mut self, tokens: Units) {
        self.tokens = tokens;
    }

    /// Returns the microseconds until the bucket holds `units`; 0 if it holds them now.
    pub(crate) fn time_until_us(&self, units: Units, limit: &HardLimit) -> f64 {
        self.refill_time_us(units - self.tokens, limit)
    }

    /// Returns the microseconds in which `units` are refilled; 0 if they are none.
    pub(crate) fn refill_time_us(&self, units: Units, limit: &HardLimit) -> f64 {
        refill_time_us(units, limit.rate * self.fraction)
    }
}

/// Returns the microseconds in which `missing` units are refilled; 0 if none are missing.
pub(super) fn refill_time_us(missing: Units, units_per_second: f64) -> f64 {
    if missing > Units::ZERO {
        missing.seconds_to_refill(units_per_second.max(f64::EPSILON)) * MICROS_PER_SECOND
    } else {
        0.0
    }
}
