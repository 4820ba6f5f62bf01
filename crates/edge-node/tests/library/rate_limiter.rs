//! The rate limiter of the log.

use edge_node::log::rate_limiter::{Decision, RateLimiter};
use std::time::{Duration, Instant};

#[test]
fn the_rate_limiter_passes_a_limited_number_of_each_kind_in_each_window() {
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
        "the count is reported once"
    );
    assert_eq!(limiter.check("a", start + window), PASS);
    assert_eq!(
        limiter.check("a", start),
        PASS,
        "a clock that goes back does not matter"
    );
    assert_eq!(limiter.check("a", start + window), SUPPRESS);
}
