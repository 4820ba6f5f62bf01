//! A token bucket on simulated time.

use crate::time::seconds_between;
use gateway_core::Timestamp;

/// Tokens that are added at a steady rate up to a capacity, and removed by use.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    capacity: f64,
    /// Tokens added per second.
    rate: f64,
    updated_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket; `rate` is in tokens per second.
    pub fn full(now: Timestamp, rate: f64, capacity: f64) -> TokenBucket {
        TokenBucket {
            tokens: capacity,
            capacity,
            rate,
            updated_at: now,
        }
    }

    /// Returns the tokens in the bucket; negative while it is overdrawn.
    pub fn tokens(&mut self, now: Timestamp) -> f64 {
        let elapsed = seconds_between(self.updated_at, now);
        self.updated_at = now;
        self.tokens = (self.tokens + self.rate * elapsed).min(self.capacity);
        self.tokens
    }

    /// Removes tokens even if that overdraws the bucket, or adds them if `count` is negative.
    /// Returns the remaining tokens.
    pub fn take(&mut self, now: Timestamp, count: f64) -> f64 {
        self.tokens(now);
        self.tokens = (self.tokens - count).min(self.capacity);
        self.tokens
    }

    /// Removes `count` tokens if the bucket holds at least that many. Returns whether they were
    /// removed.
    pub fn try_take(&mut self, now: Timestamp, count: f64) -> bool {
        let available = self.tokens(now) >= count;
        if available {
            self.tokens -= count;
        }
        available
    }

    /// Returns the fraction of the capacity that is available.
    pub fn fill_fraction(&mut self, now: Timestamp) -> f64 {
        self.tokens(now) / self.capacity.max(f64::MIN_POSITIVE)
    }
}
