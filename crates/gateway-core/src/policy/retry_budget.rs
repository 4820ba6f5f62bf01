//! The retry budget: retries are bounded to a fraction of first attempts, so that they do not
//! multiply the load of servers that fail.
//!
//! The rules:
//! 1. Each first attempt earns a fraction of a retry, up to a maximum
//!    ([`RetryBudget::first_attempt_sent`]).
//! 2. A retry takes one token. In a large fleet it is free if the failed attempt reached no server
//!    ([`RetryBudget::covers`], [`RetryBudget::charge`]).

use crate::types::AttemptOutcome;

/// Retries that each first attempt earns.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.2;
/// Maximum of the budget in retries, which it also starts with.
const MAX_RETRIES: f64 = 20.0;
/// Retries that one charged retry takes.
const RETRY_COST: f64 = 1.0;

/// Which retries take from the budget.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Charging {
    /// Every retry.
    EveryRetry,
    /// Only a retry after an attempt that put load on a server.
    AfterReachedServer,
}

/// The retries that this gateway may still send.
pub(crate) struct RetryBudget {
    retries: f64,
    charging: Charging,
}

impl RetryBudget {
    /// The full budget of a gateway in a small fleet, where every retry is charged.
    pub(crate) fn for_small_fleet() -> Self {
        RetryBudget::full(Charging::EveryRetry)
    }

    /// The full budget of a gateway in a large fleet, where a retry is free after an attempt that
    /// reached no server.
    pub(crate) fn for_large_fleet() -> Self {
        RetryBudget::full(Charging::AfterReachedServer)
    }

    fn full(charging: Charging) -> Self {
        RetryBudget {
            retries: MAX_RETRIES,
            charging,
        }
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub(crate) fn first_attempt_sent(&mut self) {
        self.retries = (self.retries + RETRIES_PER_FIRST_ATTEMPT).min(MAX_RETRIES);
    }

    /// Whether a retry that is charged may be sent.
    pub(crate) fn has_retry(&self) -> bool {
        self.retries >= RETRY_COST
    }

    /// Whether a retry may be sent after an attempt that ended like this.
    pub(crate) fn covers(&self, outcome: AttemptOutcome) -> bool {
        self.is_free(outcome) || self.has_retry()
    }

    /// Records a retry after an attempt that ended like this.
    pub(crate) fn charge(&mut self, outcome: AttemptOutcome) {
        if !self.is_free(outcome) {
            self.retries -= RETRY_COST;
        }
    }

    fn is_free(&self, outcome: AttemptOutcome) -> bool {
        self.charging == Charging::AfterReachedServer && !outcome.reached_server()
    }
}
