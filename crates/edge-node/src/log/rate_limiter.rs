//! Limits the number of events of each kind in a time window. Rate limiting crates tell whether an
//! event passes, but not how many events were suppressed before it, which the log has to report.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Rate limiter with a separate limit for each kind of event. `K` identifies a kind.
pub struct RateLimiter<K> {
    max_per_window: u32,
    window_length: Duration,
    windows: HashMap<K, Window>,
}

/// Result of [`RateLimiter::check`] for one event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The event is within the limit of its window.
    Pass {
        /// Number of events of the same kind that were suppressed in the kind's previous window.
        /// Set on the first event of a window only, 0 on all others.
        suppressed_before: u32,
    },
    /// The event exceeds the limit of its window.
    Suppress,
}

/// Counts of the events of one kind since its current window began.
struct Window {
    started_at: Instant,
    passed: u32,
    suppressed: u32,
}

impl Window {
    fn new(now: Instant) -> Window {
        Window {
            started_at: now,
            passed: 0,
            suppressed: 0,
        }
    }
}

impl<K: Eq + Hash> RateLimiter<K> {
    /// Creates a limiter that passes at most `max_per_window` events of each kind in a window. A
    /// kind's window begins with its first event after the end of its previous window.
    pub fn new(max_per_window: u32, window_length: Duration) -> RateLimiter<K> {
        RateLimiter {
            max_per_window,
            window_length,
            windows: HashMap::new(),
        }
    }

    /// Counts an event of this kind at `now` and decides whether it passes. A `now` before the
    /// start of the window counts as within the window.
    pub fn check(&mut self, kind: K, now: Instant) -> Decision {
        let window = self.windows.entry(kind).or_insert_with(|| Window::new(now));
        let mut suppressed_before = 0;
        if now.saturating_duration_since(window.started_at) >= self.window_length {
            suppressed_before = window.suppressed;
            *window = Window::new(now);
        }
        if window.passed >= self.max_per_window {
            window.suppressed += 1;
            return Decision::Suppress;
        }
        window.passed += 1;
        Decision::Pass { suppressed_before }
    }
}
