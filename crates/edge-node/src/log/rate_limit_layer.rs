//! Suppresses lines that repeat too fast, so that trouble can't flood the log.

use super::rate_limiter::{Decision, RateLimiter};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::layer::Context;
use tracing_subscriber::Layer;

/// Lines from one place in the program in each window. Without this limit the log would grow with
/// the trouble that it reports, and a reader that can't keep up would hold up the edge node.
const MAX_LINES_PER_WINDOW: u32 = 10;
/// The window of that limit.
const WINDOW: Duration = Duration::from_secs(10);

/// Limits the lines from each place in the program. Lines at debug level are exempt: an operator
/// asked for all of them.
pub(super) struct RateLimitLayer {
    limiter: Mutex<RateLimiter<Identifier>>,
}

impl RateLimitLayer {
    pub(super) fn new() -> RateLimitLayer {
        RateLimitLayer {
            limiter: Mutex::new(RateLimiter::new(MAX_LINES_PER_WINDOW, WINDOW)),
        }
    }

    fn check(&self, callsite: Identifier) -> Decision {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.check(callsite, Instant::now())
    }
}

impl<S: Subscriber> Layer<S> for RateLimitLayer {
    fn event_enabled(&self, event: &Event<'_>, _context: Context<'_, S>) -> bool {
        if *event.metadata().level() > Level::INFO {
            return true;
        }
        // The limiter's lock is released before the warning below, which comes through this layer,
        // too, and would deadlock.
        match self.check(event.metadata().callsite()) {
            Decision::Suppress => false,
            Decision::Pass {
                suppressed_before: 0,
            } => true,
            Decision::Pass { suppressed_before } => {
                tracing::warn!(
                    event = "lines_suppressed",
                    lines = suppressed_before,
                    "left out {suppressed_before} lines like the next"
                );
                true
            }
        }
    }
}
