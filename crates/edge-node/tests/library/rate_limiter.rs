//! Tests the rate limiter of the log.

use edge_node::log::rate_limiter::{Decision, RateLimiter};
use std::time::{Duration, Instant};

#[test]
fn passes_limited_number_per_kind_and_window_and_reports_suppressed_events() {
    const PASS: Decision = Decision::Pass {
        suppressed_before: 0,
    };
    const SUPPRESS: Decision = Decision::Suppress;
    let window = Duration::from_secs(10);
    let mut limiter = RateLimiter::new(3, window);
    let start = Instant::now();
    let decisions: Vec<_> = (0..6)
        .map(|second| limiter.check("a", start + Duration::from_secs(second)))
        .collect();
    assert_eq!(decisions, [PASS, PASS, PASS, SUPPRESS, SUPPRESS, SUPPRESS]);
    assert_eq!(
        limiter.check("b", start),
        PASS,
        "each kind has its own window"
    );
    assert_eq!(
        limiter.check("a", start + window - Duration::from_nanos(1)),
        SUPPRESS
    );
    let after_suppression = Decision::Pass {
        suppressed_before: 4,
    };
    assert_eq!(
        limiter.check("a", start + window),
        after_suppression,
        "first event of the next window reports the suppressed events"
    );
    assert_eq!(limiter.check("a", start + window), PASS);
    assert_eq!(
        limiter.check("a", start),
        PASS,
        "an earlier time counts as within the window"
    );
    assert_eq!(limiter.check("a", start + window), SUPPRESS);
}
