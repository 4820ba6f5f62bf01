//! Consuming and giving back a lease at the gateway that holds it.

use super::*;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn lease() -> HeldLease {
    HeldLease {
        units: Units::new(3.0),
        expires_at: at(100),
        owner_index: 1,
        sequence: 7,
    }
}

#[test]
fn lease_covers_remaining_units_until_expiry() {
    let mut lease = lease();
    assert_eq!(lease.consume(at(100), Units::new(2.0)), Some(at(100)));
    assert_eq!(
        lease.consume(at(100), Units::new(2.0)),
        None,
        "only one unit remains"
    );
    assert_eq!(lease.consume(at(101), Units::new(1.0)), None, "expired");
    assert_eq!(lease.consume(at(100), Units::new(1.0)), Some(at(100)));
}

#[test]
fn lease_is_given_back_only_to_owner_that_granted_it() {
    assert_eq!(
        lease().give_back(1),
        ReturnedLease {
            sequence: 7,
            units: Units::new(3.0)
        }
    );
    let mut lease = lease();
    assert_eq!(
        lease.give_back(0),
        ReturnedLease {
            sequence: 7,
            units: Units::new(0.0)
        }
    );
    assert_eq!(
        lease.consume(at(0), Units::new(1.0)),
        None,
        "units given up cannot be used"
    );
}
