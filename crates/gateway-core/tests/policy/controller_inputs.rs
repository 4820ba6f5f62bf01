//! Which open requests count as latency samples.

use crate::common::*;

/// A request that hangs counts once as a latency sample. If it counted at every control tick, it
/// would look like many slow requests, and the gateway would shed other requests.
#[test]
fn hanging_request_causes_no_load_shedding() {
    let mut gateway = GatewayHarness::sole_gateway(5, settings(0, LARGE_FLEET), SECOND, 4);
    gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 6 * SECOND);
    let mut sent = 0;
    for number in 0..55 {
        let class = if number % 2 == 0 {
            NON_IDEMPOTENT
        } else {
            IDEMPOTENT
        };
        sent += usize::from(gateway.request_and_complete(class, UNLIMITED, CUSTOMER, 2 * SECOND));
        gateway.advance(100 * MILLISECOND);
    }
    assert!(sent >= 52, "{sent} of 55 requests were sent");
}
