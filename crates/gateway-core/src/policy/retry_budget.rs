//! The retry budget, which limits retries to a fraction of first attempts, so that retries do not
//! multiply the load of failing servers.
//!
//! The rules:
//! 1. Each first attempt adds a fraction of a retry to the budget, up to a maximum
//!    ([`RetryBudget::record_first_attempt`]).
//! 2. A retry is charged to the budget, unless the failed attempt reached no server: such an attempt
//!    put no load on any ([`RetryBudget::covers`], [`RetryBudget::charge`]).

use crate::types::AttemptOutcome;

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.2;
/// Maximum of the budget in retries; also its initial value.
const MAX_RETRIES: f64 = 20.0;
/// Retries that one charged retry takes from the budget.
const RETRY_COST: f64 = 1.0;

/// Budget of the retries that this gateway may still send.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Creates the full budget of a gateway that starts.
    pub(crate) fn new() -> Self {
        RetryBudget {
            retries: MAX_RETRIES,
        }
    }

    /// Records a first attempt, which adds a fraction of a retry to the budget.
    pub(crate) fn record_first_attempt(&mut self) {
        self.retries = (self.retries + RETRIES_PER_FIRST_ATTEMPT).min(MAX_RETRIES);
    }

    /// Returns whether a retry that is charged may be sent.
    pub(crate) fn has_retry(&self) -> bool {
        self.retries >= RETRY_COST
    }

    /// Returns whether a retry may be sent after an attempt that ended with `outcome`.
    pub(crate) fn covers(&self, outcome: AttemptOutcome) -> bool {
        !outcome.reached_server() || self.has_retry()
    }

    /// Charges a retry after an attempt that ended with `outcome`, unless the retry is free.
    pub(crate) fn charge(&mut self, outcome: AttemptOutcome) {
        if outcome.reached_server() {
            self.retries -= RETRY_COST;
        }
    }
}
