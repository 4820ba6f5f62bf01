//! Tests the conversion of start times when the wall clock is stepped.

use super::*;
use std::time::Duration;

const SERVER: ServerId = ServerId(7);
const HOUR: Duration = Duration::from_secs(3600);
/// Time on the node's clock, which began as the wall clock.
const NOW: Timestamp = Timestamp::from_micros(10_000_000_000);

fn before_now(seconds: u64) -> Timestamp {
    NOW - Duration::from_secs(seconds)
}

#[test]
fn start_time_is_unchanged_without_a_step() {
    let times = StartTimes::default();
    times.observe_wall_clock(NOW + Duration::from_millis(150), NOW);
    assert_eq!(times.convert(SERVER, before_now(5), NOW), before_now(5));
}

/// Guards against a server that starts after the wall clock was stepped forward, and counts as
/// starting for an hour.
#[test]
fn server_that_starts_after_step_forward_has_its_true_age() {
    let times = StartTimes::default();
    times.observe_wall_clock(NOW + HOUR, NOW);
    let reported = before_now(2) + HOUR;
    assert_eq!(times.convert(SERVER, reported, NOW), before_now(2));
}

/// Guards against a server that has just started after the wall clock was stepped back, counts as
/// warm, and is overloaded.
#[test]
fn server_that_starts_after_step_back_has_its_true_age() {
    let times = StartTimes::default();
    times.observe_wall_clock(NOW - HOUR, NOW);
    let reported = before_now(2) - HOUR;
    assert_eq!(times.convert(SERVER, reported, NOW), before_now(2));
}

/// The server started before the step and is known only afterwards.
#[test]
fn youngest_reading_is_used_if_start_may_precede_step() {
    let times = StartTimes::default();
    times.observe_wall_clock(NOW + HOUR, NOW);
    assert_eq!(times.convert(SERVER, before_now(3), NOW), before_now(3));
    // Any other reading would be in the future.
    let in_future = NOW + HOUR + Duration::from_secs(9);
    assert_eq!(times.convert(ServerId(8), in_future, NOW), NOW);
}

/// Guards against a step that looks like a restart of every server.
#[test]
fn conversion_stays_the_same_until_discovery_reports_another_start() {
    let times = StartTimes::default();
    let reported = before_now(2000);
    assert_eq!(times.convert(SERVER, reported, NOW), reported);
    times.observe_wall_clock(NOW - HOUR / 4, NOW);
    times.observe_wall_clock(NOW + HOUR, NOW);
    assert_eq!(times.convert(SERVER, reported, NOW), reported);
    times.retain_listed(&HashSet::from([SERVER]));
    assert_eq!(times.convert(SERVER, reported, NOW), reported);
    times.retain_listed(&HashSet::new());
    assert!(times.converted.borrow().is_empty());
}
