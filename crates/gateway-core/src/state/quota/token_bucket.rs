//! The token bucket of a quota.

use crate::units::Units;

/// The tokens of a quota. The code that holds the bucket refills it; the bucket may go into debt.
pub(crate) struct TokenBucket {
    tokens: Units,
    burst_capacity: Units,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens`.
    ///
    /// `burst_capacity` is this gateway's part of the plan's burst, or the size of the largest
    /// request if that is more. A full bucket holds the plan's burst, but at least
    /// `burst_capacity`; [`drain`](Self::drain) makes a debt of at most `burst_capacity`.
    pub(crate) fn new(tokens: Units, burst_capacity: Units) -> Self {
        TokenBucket {
            tokens,
            burst_capacity,
        }
    }

    /// Returns the tokens in the bucket; negative if the bucket is in debt.
    pub(crate) fn tokens(&self) -> Units {
        self.tokens
    }

    /// Returns this gateway's part of the plan's burst; a full bucket holds at least this.
    pub(crate) fn burst_capacity(&self) -> Units {
        self.burst_capacity
    }

    /// Adds tokens, up to the plan's burst or the bucket's burst capacity, whichever is larger.
    pub(crate) fn refill(&mut self, units: Units, plan_burst: Units) {
        self.tokens = (self.tokens + units).min(self.max_tokens(plan_burst));
    }

    /// Returns whether a refill would add nothing.
    pub(crate) fn is_full(&self, plan_burst: Units) -> bool {
        self.tokens >= self.max_tokens(plan_burst)
    }

    /// Takes tokens; the debt is not limited.
    pub(crate) fn take(&mut self, units: Units) {
        self.tokens -= units;
    }

    /// Puts back tokens that were taken and not used.
    pub(crate) fn put_back(&mut self, units: Units) {
        self.tokens += units;
    }

    /// Takes tokens, up to a debt of the burst capacity.
    pub(crate) fn drain(&mut self, units: Units) {
        self.tokens = (self.tokens - units).max(-self.burst_capacity);
    }

    /// Lowers the tokens to `maximum` if there are more.
    pub(crate) fn limit_tokens(&mut self, maximum: Units) {
        self.tokens = self.tokens.min(maximum);
    }

    fn max_tokens(&self, plan_burst: Units) -> Units {
        plan_burst.max(self.burst_capacity)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/token_bucket.rs"]
mod tests;
