//! Granting and reclaiming leases in a quota owner's ledger.

use super::*;

#[test]
fn reclaims_only_latest_lease_once_and_at_most_granted_units() {
    let (gateway, other) = (GatewayId(1), GatewayId(2));
    let mut ledger = LeaseLedger::default();
    ledger.grant(gateway, 7, Units::new(3.0));
    ledger.grant(gateway, 8, Units::new(4.0));
    ledger.grant(gateway, 9, Units::new(0.0)); // does not replace the previous lease: no units
    let returned = |sequence| ReturnedLease {
        sequence,
        units: Units::new(9.0),
    };
    assert_eq!(
        ledger.reclaim(gateway, returned(7)),
        None,
        "this lease was replaced"
    );
    assert_eq!(
        ledger.reclaim(other, returned(8)),
        None,
        "the lease is another gateway's"
    );
    assert_eq!(ledger.reclaim(gateway, returned(8)), Some(Units::new(4.0)));
    assert_eq!(
        ledger.reclaim(gateway, returned(8)),
        None,
        "the lease was reclaimed before"
    );
}
