//! A lease at the gateway that holds it.

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
fn it_covers_what_is_left_until_it_expires() {
    let mut lease = lease();
    assert_eq!(lease.consume(at(100), Units::new(2.0)), Some(at(100)));
    assert_eq!(
        lease.consume(at(100), Units::new(2.0)),
        None,
        "one unit is left"
    );
    assert_eq!(lease.consume(at(101), Units::new(1.0)), None, "expired");
    assert_eq!(lease.consume(at(100), Units::new(1.0)), Some(at(100)));
}

#[test]
fn it_is_given_back_to_its_own_owner_alone() {
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
        "what is given back cannot be used"
    );
}
