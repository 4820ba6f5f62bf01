//! A quota owner's ledger of leases.

use super::*;

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
