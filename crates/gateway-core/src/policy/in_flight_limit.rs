//! The in-flight limit: how many attempts of the lowest class a gateway may have in flight.
//!
//! The rules:
//! 1. There is no limit until the fuzzy controller sets one.
//! 2. An attempt may be sent if the attempts in flight stay within the limit
//!    ([`InFlightLimit::allows`]).
//! 3. A limit below one attempt holds on average (pacing): tokens accumulate at the rate that the
//!    limit allows, and each token allows one attempt.

use crate::time::Timestamp;

/// Limit in attempts below which attempts are paced, so that the limit holds on average.
const PACED_BELOW_ATTEMPTS: f64 = 1.0;
/// Pacing tokens that one attempt consumes; no more than these accumulate.
const TOKENS_PER_ATTEMPT: f64 = 1.0;
/// Lower bound of the mean latency that pacing calculates with, in µs.
const MIN_MEAN_LATENCY_US: f64 = 1.0;

/// In-flight limit of the lowest class at this gateway.
#[derive(Default)]
pub(crate) struct InFlightLimit {
    /// Maximum number of attempts in flight; `None` while there is no limit.
    maximum: Option<f64>,
    /// Pacing tokens accumulated for a limit below one attempt.
    pacing_tokens: f64,
    last_paced_at: Timestamp,
}

impl InFlightLimit {
    /// Returns the maximum number of attempts in flight; `None` while there is no limit.
    pub(crate) fn maximum(&self) -> Option<f64> {
        self.maximum
    }

    /// Sets the maximum number of attempts in flight.
    pub(crate) fn set_maximum(&mut self, maximum: f64) {
        self.maximum = Some(maximum);
    }

    /// Returns whether one more attempt may be sent while `in_flight` attempts are in flight.
    ///
    /// Also accumulates pacing tokens up to `now`. `mean_latency_us` is the mean latency of the
    /// fleet: a limit below one allows one attempt per `mean_latency_us / limit`.
    pub(crate) fn allows(&mut self, in_flight: f64, now: Timestamp, mean_latency_us: f64) -> bool {
        let Some(maximum) = self.maximum else {
            return true;
        };
        self.accumulate_tokens(maximum, now, mean_latency_us);
        in_flight + 1.0 <= maximum || self.is_paced_attempt_due(maximum, in_flight)
    }

    /// Consumes the pacing token of an attempt that is being sent.
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
