//! Permits in use, and how a limit is shared.

use super::*;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn a_permit_is_in_use_until_it_is_released_or_expires() {
    let holder = |sequence| PermitHolder {
        gateway: GatewayId(1),
        sequence,
    };
    let mut permits = ConcurrencyPermits::default();
    (0..3).for_each(|sequence| permits.acquire(holder(sequence), at(100 + u64::from(sequence))));
    permits.release(holder(9));
    permits.release(PermitHolder {
        gateway: GatewayId(2),
        sequence: 2,
    });
    assert_eq!(permits.in_use(), 3, "nobody else's is released");
    permits.release(holder(2));
    assert_eq!(permits.in_use(), 2);
    permits.drop_expired(at(100));
    assert_eq!(permits.in_use(), 1);
}

#[test]
fn owners_share_a_limit_evenly_and_a_standby_owner_has_the_last_share() {
    let shares = |limit| [0, 1, 2].map(|index| permits_of_owner(limit, 2, index));
    assert_eq!(shares(4), [2, 2, 2]);
    assert_eq!(shares(5), [3, 2, 2]);
    assert_eq!(shares(1), [1, 0, 0]);
}
