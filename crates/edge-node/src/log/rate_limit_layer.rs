//! Limits the rate of repeated log lines, so that a recurring error cannot flood the log.

use super::rate_limiter::{Decision, RateLimiter};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::layer::Context;
use tracing_subscriber::Layer;

/// Maximum number of lines from one callsite in each window. Without this limit the log would grow
/// with the number of errors, and a reader that cannot keep up would block the edge node.
const MAX_LINES_PER_WINDOW: u32 = 10;
/// Length of the window that [`MAX_LINES_PER_WINDOW`] applies to.
const WINDOW: Duration = Duration::from_secs(10);

/// Layer that limits the lines from each callsite. Lines at debug level are exempt, because an
/// operator who sets that level asks for all of them.
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
        // `check` releases the limiter's lock before the warning below is logged. The warning
        // passes through this layer as well and would deadlock otherwise.
        match self.check(event.metadata().callsite()) {
            Decision::Suppress => false,
            Decision::Pass {
                suppressed_before: 0,
            } => true,
            Decision::Pass { suppressed_before } => {
                tracing::warn!(
                    event = "lines_suppressed",
                    lines = suppressed_before,
                    "suppressed {suppressed_before} lines of the same kind as the next line"
                );
                true
            }
        }
    }
}
