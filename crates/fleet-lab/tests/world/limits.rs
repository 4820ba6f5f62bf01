//! Tests of token buckets, usage limits and request records.

use crate::common::{MILLISECOND, SECOND};
use fleet_lab::world::request_record::RequestRecord;
use fleet_lab::world::token_bucket::TokenBucket;
use fleet_lab::world::usage_limit::UsageLimit;
use fleet_lab::world::START;

#[test]
fn token_bucket_refills_at_rate_up_to_capacity() {
    let mut bucket = TokenBucket::full(START, 2.0, 10.0);
    assert!(bucket.try_take(START, 9.0) && !bucket.try_take(START, 2.0));
    assert!(bucket.try_take(START + 500 * MILLISECOND, 2.0));
    assert_eq!(bucket.take(START + SECOND, 4.0), -3.0);
    assert_eq!(
        (
            bucket.tokens(START + 60 * SECOND),
            bucket.fill_fraction(START + 60 * SECOND)
        ),
        (10.0, 1.0)
    );
}

#[test]
fn usage_limit_is_violated_beyond_tolerance_and_retains_peak() {
    let mut limit = UsageLimit::unused(START, 2.0, 10.0);
    assert!(limit.peak().is_none());
    assert!(
        !limit.consume(START, 13.0, 3.0).is_violation(),
        "exactly the tolerance is permitted"
    );
    let beyond = limit.consume(START, 0.5, 3.0);
    assert!(beyond.is_violation());
    assert_eq!(
        (beyond.units, beyond.tolerated, beyond.beyond_tolerance()),
        (3.5, 3.0, 0.5)
    );
    let later = limit.consume(START + SECOND, 1.0, 3.0);
    assert_eq!(later.units, 2.5, "two units are refilled in a second");
    assert_eq!(limit.peak().map(|peak| peak.units), Some(3.5));
    let unused = UsageLimit::unused(START, 2.0, 10.0).consume(START + 60 * SECOND, 10.0, 0.0);
    assert!(
        !unused.is_violation() && unused.units == 0.0,
        "unused units accumulate up to the capacity"
    );
}

#[test]
fn request_record_reports_first_attempt_repeated_execution_and_answer_after_end() {
    let mut record = RequestRecord::new(START, "request");
    assert!(record.is_open() && !record.is_executed());
    assert!(record.add_attempt(1) && !record.add_attempt(2));
    record.execution_started();
    assert!(record.is_executed() && !record.is_executed_repeatedly());
    record.execution_started();
    assert!(record.is_executed_repeatedly());
    assert!(record.record_answer() && !record.is_open() && !record.is_answered_after_end());
    assert!(!record.record_answer() && record.is_answered_after_end());
    let mut abandoned: RequestRecord<&str, u32> = RequestRecord::new(START, "request");
    assert!(abandoned.close() && !abandoned.close() && !abandoned.is_answered_after_end());
    assert!(!abandoned.record_answer() && abandoned.is_answered_after_end());
}
