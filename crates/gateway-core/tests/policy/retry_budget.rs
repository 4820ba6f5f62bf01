//! The retry budget, which grows with each first attempt.

use crate::common::*;
use gateway_core::*;
use AttemptOutcome::{NotSent, ServerError, Unreachable};

/// Numbers of gateways of a small and of a large fleet.
const FLEETS: [u32; 2] = [1, LARGE_FLEET];
const REQUESTS: u64 = 60;
/// More servers than attempts, because a server that accepts no connection is not tried again soon.
const SERVERS: u64 = 190;

/// Receives requests whose attempts all end with `outcome`. Returns the number of retries.
fn count_retries(gateways: u32, outcome: AttemptOutcome) -> usize {
    let mut gateway = GatewayHarness::sole_gateway(3, settings(0, gateways), SECOND, SERVERS);
    for _ in 0..REQUESTS {
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
        while gateway.server_of(&id).is_some() {
            gateway.finish(&id, outcome);
        }
    }
    gateway.sent_count() - REQUESTS as usize
}

/// If every attempt fails at its server, retries must not multiply the load.
#[test]
fn retry_budget_bounds_retries_if_every_attempt_fails() {
    for gateways in FLEETS {
        let retries = count_retries(gateways, ServerError);
        assert!(
            (20..=32).contains(&retries),
            "{retries} retries of {gateways} gateways; the budget is 20 at the start and a fifth of \
             60 first attempts"
        );
    }
}

/// An attempt that reached no server put no load on any, so the client's next attempt is not withheld
/// from it, however many gateways there are.
#[test]
fn attempt_that_reached_no_server_is_retried_without_charge() {
    for gateways in FLEETS {
        for outcome in [NotSent, Unreachable] {
            let retries = count_retries(gateways, outcome);
            assert!(
                retries > 32,
                "{retries} retries of {gateways} gateways, {outcome:?}"
            );
        }
    }
}
