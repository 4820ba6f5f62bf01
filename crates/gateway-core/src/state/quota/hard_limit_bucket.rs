//! The bucket of a hard limit.

use crate::settings::HardLimit;
use crate::time::{DurationExt, MICROS_PER_SECOND};
use crate::units::Units;
use std::time::Duration;

/// What remains of a fixed fraction of a hard limit.
///
/// It is empty at first, and depends on no message: so the limit holds through lost messages and
/// restarts. The price is paid where nearly all requests of a customer come in through one gateway.
pub(crate) struct HardLimitBucket {
    tokens: Units,
    /// Fraction of the limit's rate and capacity.
    fraction: f64,
    /// How long grants may be used.
    grant_lifetime: Duration,
}

impl HardLimitBucket {
    /// An empty bucket for a fraction of a hard limit. `grant_lifetime`: how long what is granted
    /// from it may be used; zero for immediate use.
    pub(crate) fn empty(fraction: f64, grant_lifetime: Duration) -> Self {
        HardLimitBucket {
            tokens: Units::ZERO,
            fraction,
            grant_lifetime,
        }
    }

    /// Units that may be used; negative where the use is ahead of the limit.
    pub(crate) fn tokens(&self) -> Units {
        self.tokens
    }

    /// Adds what the limit lets through in so many seconds.
    pub(crate) fn refill(&mut self, limit: &HardLimit, seconds: f64) {
        let refill = Units::refilled(limit.rate * self.fraction, seconds);
        self.tokens = (self.tokens + refill).min(self.maximum(limit));
    }

    /// Whether a refill would add nothing.
    pub(crate) fn is_full(&self, limit: &HardLimit) -> bool {
        self.tokens >= self.maximum(limit)
    }

    /// What is refilled during the lifetime of grants is reserved: grants are void after it, so
    /// what is used late adds up to no more than the whole capacity.
    fn maximum(&self, limit: &HardLimit) -> Units {
        let reserved = limit.rate * self.grant_lifetime.as_micros_f64() / MICROS_PER_SECOND;
        (limit.capacity - Units::new(reserved)) * self.fraction
    }

    /// Takes units, whether or not so many are in it.
    pub(crate) fn take(&mut self, units: Units) {
        self.tokens -= units;
    }

    /// Puts units back that were taken and not used.
    pub(crate) fn put_back(&mut self, units: Units) {
        self.tokens += units;
    }

    /// Replaces what is in it.
    pub(crate) fn set_tokens(&mut self, tokens: Units) {
        self.tokens = tokens;
    }

    /// Microseconds until it holds so many units.
    pub(crate) fn time_until_us(&self, units: Units, limit: &HardLimit) -> f64 {
        refill_time_us(units - self.tokens, limit.rate * self.fraction)
    }
}

/// Microseconds in which missing units come in at a rate of so many units a second.
pub(super) fn refill_time_us(missing: Units, units_per_second: f64) -> f64 {
    if missing > Units::ZERO {
        missing.seconds_to_refill(units_per_second.max(f64::EPSILON)) * MICROS_PER_SECOND
    } else {
        0.0
    }
}
