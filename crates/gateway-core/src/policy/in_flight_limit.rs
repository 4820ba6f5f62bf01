//! The in-flight limit: how many attempts of the lowest class a gateway may have in flight.
//!
//! The rules:
//! 1. There is no limit until the fuzzy controller sets one.
//! 2. An attempt may be sent while it stays within the limit ([`InFlightLimit::allows`]).
//! 3. A limit below one attempt holds on average: tokens accumulate at the pace that the limit
//!    allows, and one token allows one attempt.

use crate::time::Timestamp;

/// A limit below this many attempts holds on average.
const PACED_BELOW_ATTEMPTS: f64 = 1.0;
/// Tokens that one attempt needs; no more than these accumulate.
const TOKENS_PER_ATTEMPT: f64 = 1.0;
/// Shortest mean latency that pacing calculates with.
const MIN_MEAN_LATENCY_US: f64 = 1.0;

/// The in-flight limit of the lowest class at this gateway.
#[derive(Default)]
pub(crate) struct InFlightLimit {
    /// Attempts that may be in flight; `None` while there is no limit.
    maximum: Option<f64>,
    /// Attempts that a limit below one allows, accumulated at its pace.
    pacing_tokens: f64,
    last_paced_at: Timestamp,
}

impl InFlightLimit {
    /// How many attempts may be in flight; `None` while there is no limit.
    pub(crate) fn maximum(&self) -> Option<f64> {
        self.maximum
    }

    /// Sets how many attempts may be in flight.
    pub(crate) fn set_maximum(&mut self, maximum: f64) {
        self.maximum = Some(maximum);
    }

    /// Whether one more attempt may be sent while so many are in flight. `mean_latency_us` is the
    /// fleet's mean latency: a limit below one allows one attempt per `mean_latency_us / limit`.
    pub(crate) fn allows(&mut self, in_flight: f64, now: Timestamp, mean_latency_us: f64) -> bool {
        let Some(maximum) = self.maximum else {
            return true;
        };
        self.accumulate_tokens(maximum, now, mean_latency_us);
        in_flight + 1.0 <= maximum || self.is_paced_attempt_due(maximum, in_flight)
    }

    /// Takes the token of an attempt that is being sent.
    pub(crate) fn consume_pacing_token(&mut self) {
        self.pacing_tokens -= TOKENS_PER_ATTEMPT;
    }

    fn accumulate_tokens(&mut self, maximum: f64, now: Timestamp, mean_latency_us: f64) {
        let elapsed_latencies =
            now.micros_since(self.last_paced_at) / mean_latency_us.max(MIN_MEAN_LATENCY_US);
        self.pacing_tokens =
            (self.pacing_tokens.max(0.0) + maximum * elapsed_latencies).min(TOKENS_PER_ATTEMPT);
        self.last_paced_at = now;
    }

    fn is_paced_attempt_due(&self, maximum: f64, in_flight: f64) -> bool {
        maximum < PACED_BELOW_ATTEMPTS
            && in_flight < 1.0
            && self.pacing_tokens >= TOKENS_PER_ATTEMPT
    }
}
