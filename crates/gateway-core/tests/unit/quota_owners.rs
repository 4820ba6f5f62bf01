//! Selection of the gateways that own a customer's quota.

use super::*;

#[test]
fn owners_and_standby_owner_are_distinct_gateways_of_customer() {
    let gateways = GatewaySet {
        first: GatewayId(95),
        count: 10,
    };
    for customer in 0..100 {
        let owners = QuotaOwners::new(CustomerId(customer), gateways, 2, 100);
        let mut chosen = [0, 1, 2].map(|index| owners.gateway(index));
        assert!(
            chosen
                .iter()
                .all(|gateway| (gateway.0 + 100 - 95) % 100 < 10),
            "{customer}: {chosen:?}"
        );
        chosen.sort_unstable();
        assert!(
            chosen.windows(2).all(|pair| pair[0] != pair[1]),
            "{customer}: {chosen:?}"
        );
    }
}
