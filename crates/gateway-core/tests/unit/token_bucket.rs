//! Refill, capacity and debt of a token bucket.

use super::*;

const BURST: Units = Units::new(20.0);

fn units(number: f64) -> Units {
    Units::new(number)
}

#[test]
fn refill_stops_at_larger_of_plan_burst_and_burst_capacity() {
    for (burst, full) in [(BURST, BURST), (units(4.0), units(5.0))] {
        let mut bucket = TokenBucket::new(Units::ZERO, units(5.0));
        assert!(!bucket.is_full(burst));
        bucket.refill(units(100.0), burst);
        assert!(bucket.is_full(burst));
        assert_eq!(bucket.tokens(), full);
    }
}

#[test]
fn drain_limits_debt_to_burst_capacity_and_take_does_not() {
    let mut bucket = TokenBucket::new(BURST, units(5.0));
    bucket.drain(units(100.0));
    assert_eq!(bucket.tokens(), units(-5.0));
    bucket.take(units(100.0));
    assert_eq!(bucket.tokens(), units(-105.0));
    bucket.put_back(units(100.0));
    assert_eq!(bucket.tokens(), units(-5.0));
}
