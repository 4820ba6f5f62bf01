//! Permits in use, and the division of a limit among owners.

use super::*;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn permit_is_in_use_until_released_or_expired() {
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
    assert_eq!(
        permits.in_use(),
        3,
        "permits of other holders are not released"
    );
    permits.release(holder(2));
    assert_eq!(permits.in_use(), 2);
    permits.drop_expired(at(100));
    assert_eq!(permits.in_use(), 1);
}

#[test]
fn owners_divide_limit_evenly_and_standby_owner_gets_last_part() {
    let parts = |limit| [0, 1, 2].map(|index| permits_of_owner(limit, 2, index));
    assert_eq!(parts(4), [2, 2, 2]);
    assert_eq!(parts(5), [3, 2, 2]);
    assert_eq!(parts(1), [1, 0, 0]);
}
