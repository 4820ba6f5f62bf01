//! The token bucket of a quota.

use crate::units::Units;

/// Tokens of a quota. Its owner refills it; it may go into debt.
pub(crate) struct TokenBucket {
    tokens: Units,
    burst_capacity: Units,
}

impl TokenBucket {
    /// A bucket that holds so many tokens.
    ///
    /// `burst_capacity`: the part of the plan's burst that belongs to this gateway, or the largest
    /// request if that is more. A full bucket holds the plan's burst, but at least this; a debt made
    /// by [`drain`](Self::drain) is at most this.
    pub(crate) fn new(tokens: Units, burst_capacity: Units) -> Self {
        TokenBucket {
            tokens,
            burst_capacity,
        }
    }

    /// Tokens in it; negative if it is in debt.
    pub(crate) fn tokens(&self) -> Units {
        self.tokens
    }

    /// The part of the plan's burst that belongs to this gateway; a full bucket holds at least this.
    pub(crate) fn burst_capacity(&self) -> Units {
        self.burst_capacity
    }

    /// Adds tokens, up to a plan's burst or the own capacity, whichever is larger.
    pub(crate) fn refill(&mut self, units: Units, plan_burst: Units) {
        self.tokens = (self.tokens + units).min(self.maximum(plan_burst));
    }

    /// Whether a refill would add nothing.
    pub(crate) fn is_full(&self, plan_burst: Units) -> bool {
        self.tokens >= self.maximum(plan_burst)
    }

    /// Takes tokens, whether or not so many are in it.
    pub(crate) fn take(&mut self, units: Units) {
        self.tokens -= units;
    }

    /// Puts tokens back that were taken and not used.
    pub(crate) fn put_back(&mut self, units: Units) {
        self.tokens += units;
    }

    /// Takes tokens, down to a debt of the burst capacity at most.
    pub(crate) fn drain(&mut self, units: Units) {
        self.tokens = (self.tokens - units).max(-self.burst_capacity);
    }

    /// Lowers the tokens to a limit, if there are more.
    pub(crate) fn limit_tokens(&mut self, maximum: Units) {
        self.tokens = self.tokens.min(maximum);
    }

    fn maximum(&self, plan_burst: Units) -> Units {
        plan_burst.max(self.burst_capacity)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/token_bucket.rs"]
mod tests;
