//! The retry budget: retries are bounded to a fraction of first attempts, so that they do not
//! multiply the load of servers that fail.
//!
//! The rules:
//! 1. Each first attempt earns a fraction of a retry, up to a maximum
//!    ([`RetryBudget::record_first_attempt`]).
//! 2. A retry is charged to the budget. In a large fleet it is free if the failed attempt reached
//!    no server ([`RetryBudget::covers`], [`RetryBudget::charge`]).

use crate::state::deployment::FleetMode;
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
    /// In a small fleet: every retry.
    EveryRetry,
    /// In a large fleet: only a retry after an attempt that put load on a server.
    AfterReachedServer,
}

/// The retries that this gateway may still send.
pub(crate) struct RetryBudget {
    retries: f64,
    charging: Charging,
}

impl RetryBudget {
    /// The full budget of a gateway that starts in a fleet of this mode.
    pub(crate) fn new(mode: FleetMode) -> Self {
        let charging = match mode {
            FleetMode::Gossip => Charging::EveryRetry,
            FleetMode::Leases => Charging::AfterReachedServer,
        };
        RetryBudget {
            retries: MAX_RETRIES,
            charging,
        }
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub(crate) fn record_first_attempt(&mut self) {
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
