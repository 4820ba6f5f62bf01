//! A limit on the units that a customer uses over all gateways together, and the excess of that use
//! over the limit.

use super::token_bucket::TokenBucket;
use gateway_core::Timestamp;

/// Use of a limit relative to the limit and its tolerance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Excess {
    /// Units beyond the limit; negative within the limit.
    pub units: f64,
    /// Units beyond the limit that were tolerated at that time.
    pub tolerated: f64,
}

impl Excess {
    /// Returns the units beyond the limit and its tolerance; negative within them.
    pub fn beyond_tolerance(&self) -> f64 {
        self.units - self.tolerated
    }

    /// Returns whether the limit is violated, its tolerance included.
    pub fn is_violation(&self) -> bool {
        self.beyond_tolerance() > 0.0
    }
}

/// A limit on units, with a record of the units used.
#[derive(Clone, Debug)]
pub struct UsageLimit {
    bucket: TokenBucket,
    /// The maximum excess relative to its tolerance; `None` before the first use.
    peak: Option<Excess>,
}

impl UsageLimit {
    /// Creates a limit of which nothing has been used: `rate` is in units per second, and
    /// `capacity` in units that may be used at once.
    pub fn unused(now: Timestamp, rate: f64, capacity: f64) -> UsageLimit {
        UsageLimit {
            bucket: TokenBucket::full(now, rate, capacity),
            peak: None,
        }
    }

    /// Uses units, whether or not that exceeds the limit. Returns the use relative to the limit and
    /// to the `tolerated` units.
    pub fn consume(&mut self, now: Timestamp, units: f64, tolerated: f64) -> Excess {
        let remaining = self.bucket.take(now, units);
        let excess = Excess {
            units: -remaining,
            tolerated,
        };
        if self
            .peak
            .is_none_or(|peak| excess.beyond_tolerance() > peak.beyond_tolerance())
        {
            self.peak = Some(excess);
        }
        excess
    }

    /// Returns the maximum excess relative to its tolerance; `None` before the first use.
    pub fn peak(&self) -> Option<Excess> {
        self.peak
    }
}
