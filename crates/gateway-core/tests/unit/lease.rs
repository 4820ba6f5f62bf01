//! A lease at the gateway that holds it, and in its owner's ledger.

use super::*;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn lease() -> Lease {
    Lease {
        units: Units::new(3.0),
        expires_at: at(100),
        owner_index: 1,
        sequence: 7,
        ..Lease::default()
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

#[test]
fn the_ledger_reclaims_the_latest_lease_of_a_gateway_once_and_no_more_than_was_granted() {
    let (gateway, other) = (GatewayId(1), GatewayId(2));
    let mut ledger = LeaseLedger::default();
    ledger.grant(gateway, 7, Units::new(3.0));
    ledger.grant(gateway, 8, Units::new(4.0));
    ledger.grant(gateway, 9, Units::new(0.0)); // no lease, so the one before stays
    let returned = |sequence| ReturnedLease {
        sequence,
        units: Units::new(9.0),
    };
    assert_eq!(ledger.reclaim(gateway, returned(7)), None, "replaced");
    assert_eq!(
        ledger.reclaim(other, returned(8)),
        None,
        "another gateway's"
    );
    assert_eq!(ledger.reclaim(gateway, returned(8)), Some(Units::new(4.0)));
    assert_eq!(ledger.reclaim(gateway, returned(8)), None, "again");
}
