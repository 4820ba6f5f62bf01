//! Tokens, capacity and refill of a token bucket.

use super::*;

const BURST: Units = Units::new(20.0);

fn units(number: f64) -> Units {
    Units::new(number)
}

#[test]
fn it_is_full_at_the_burst_or_at_its_own_capacity() {
    for (burst, full) in [(BURST, BURST), (units(4.0), units(5.0))] {
        let mut bucket = TokenBucket::new(Units::ZERO, units(5.0));
        assert!(!bucket.is_full(burst));
        bucket.refill(units(100.0), burst);
        assert!(bucket.is_full(burst));
        assert_eq!(bucket.tokens(), full);
    }
}

#[test]
fn taking_may_leave_any_debt_and_draining_one_of_its_capacity() {
    let mut bucket = TokenBucket::new(BURST, units(5.0));
    bucket.drain(units(100.0));
    assert_eq!(bucket.tokens(), units(-5.0));
    bucket.take(units(100.0));
    assert_eq!(bucket.tokens(), units(-105.0));
    bucket.put_back(units(100.0));
    assert_eq!(bucket.tokens(), units(-5.0));
}
