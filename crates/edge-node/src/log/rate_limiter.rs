//! Limits how many events of each kind pass in a time window. Crates for rate limits tell whether
//! an event passes, but not how many were suppressed before it, which the log has to report.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// A rate limiter that counts each kind on its own.
pub struct RateLimiter<K> {
    max_per_window: u32,
    window: Duration,
    windows: HashMap<K, Window>,
}

/// Whether an event passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It passes.
    Pass {
        /// How many of its kind were suppressed in the window before; reported once, with the first
        /// that passes.
        suppressed_before: u32,
    },
    /// It is one too many in this window.
    Suppress,
}

/// What came of one kind since its window began.
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
    /// Lets `max_per_window` of each kind pass in each window. A kind's window begins with its
    /// first event after the end of the window before.
    pub fn new(max_per_window: u32, window: Duration) -> RateLimiter<K> {
        RateLimiter {
            max_per_window,
            window,
            windows: HashMap::new(),
        }
    }

    /// Counts an event, and decides whether it passes. A `now` before the window's start counts as
    /// in the window.
    pub fn check(&mut self, kind: K, now: Instant) -> Decision {
        let window = self.windows.entry(kind).or_insert_with(|| Window::new(now));
        let mut suppressed_before = 0;
        if now.saturating_duration_since(window.started_at) >= self.window {
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
