//! Which open requests count as latency samples.

use crate::common::*;

/// One request that hangs must not look like many.
#[test]
fn a_request_that_hangs_sheds_no_other() {
    let mut gateway = GatewayHarness::sole_gateway(5, settings(0, LARGE_FLEET), S, 4);
    gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 6 * S);
    let mut sent = 0;
    for number in 0..55 {
        let class = if number % 2 == 0 {
            NON_IDEMPOTENT
        } else {
            IDEMPOTENT
        };
        sent += usize::from(gateway.request_and_complete(class, UNLIMITED, CUSTOMER, 2 * S));
        gateway.advance(100 * MS);
    }
    assert!(sent >= 52, "{sent} of 55");
}
