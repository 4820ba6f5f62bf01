//! When the clients of rejected requests are told to return.

use crate::common::*;
use gateway_core::*;
use std::collections::BTreeSet;
use std::time::Duration;

/// Returns the `Retry-After` of each rejection, in order.
fn retry_afters(actions: &[Action]) -> Vec<Option<Micros>> {
    let retry_after = |action: &Action| match action {
        Action::Reject { retry_after, .. } => {
            Some(retry_after.map(|retry_after| retry_after.as_micros() as Micros))
        }
        _ => None,
    };
    actions.iter().filter_map(retry_after).collect()
}

/// Passes a request of one unit to the gateway. Returns the `Retry-After` if it is rejected.
fn request_once(gateway: &mut GatewayHarness) -> Option<Micros> {
    gateway.actions.clear();
    gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * SECOND);
    retry_afters(&gateway.actions).into_iter().flatten().next()
}

/// A client that is told a shorter time than the refill of its units takes returns in vain.
#[test]
fn rejected_client_is_told_when_its_units_are_refilled() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 1), SECOND, 8);
    for _ in 0..4 {
        assert_eq!(request_once(&mut gateway), None, "within the burst");
    }
    gateway.now += 250 * MILLISECOND;
    let wait = request_once(&mut gateway);
    assert_eq!(
        wait,
        Some(750 * MILLISECOND),
        "a quarter of a unit is there"
    );
    gateway.now += 740 * MILLISECOND;
    assert!(
        request_once(&mut gateway).is_some(),
        "the units are not there yet"
    );
    gateway.now += 10 * MILLISECOND;
    assert_eq!(
        request_once(&mut gateway),
        None,
        "the units are there as told"
    );
}

/// Clients of one customer compete for the units that are refilled. Told the same time, all but one
/// of them would return in vain.
#[test]
fn rejected_clients_of_one_customer_are_told_successive_times() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 1), SECOND, 8);
    for _ in 0..4 {
        request_once(&mut gateway);
    }
    let waits: Vec<_> = (0..3).map(|_| request_once(&mut gateway)).collect();
    assert_eq!(waits, [Some(SECOND), Some(2 * SECOND), Some(3 * SECOND)]);
    for _ in 0..3 {
        gateway.now += SECOND;
        assert_eq!(
            request_once(&mut gateway),
            None,
            "the units are there as told"
        );
    }
}

/// Twelve clients of one customer come again when they are told to, for a minute: each return but a
/// few is admitted.
#[test]
fn clients_that_return_when_told_are_admitted() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 1), SECOND, 8);
    let end = gateway.now + 60 * SECOND;
    let mut returns: BTreeSet<(Micros, u32)> =
        (0..12).map(|client| (gateway.now, client)).collect();
    let (mut requests, mut admitted) = (0, 0);
    while let Some((at, client)) = returns.pop_first().filter(|(at, _)| *at < end) {
        gateway.advance(at.saturating_sub(gateway.now));
        gateway.now = gateway.now.max(at);
        requests += 1;
        let wait = request_once(&mut gateway);
        admitted += u32::from(wait.is_none());
        gateway.complete_all();
        let pause = wait.unwrap_or(100 * MILLISECOND);
        returns.insert((gateway.now + pause, client));
    }
    assert!(
        admitted >= 60,
        "{admitted} admitted of 64 that the quota allows"
    );
    assert!(
        requests <= 3 * admitted,
        "{requests} requests for {admitted} admissions"
    );
}

/// A rejection has a `Retry-After` only if the settings allow it, and the `Retry-After` is never
/// longer than the maximum in the settings.
#[test]
fn retry_after_stays_within_configured_maximum() {
    for (max_retry_after, expected) in [
        (None, None),
        (Some(5 * MILLISECOND), Some(5 * MILLISECOND)),
        (Some(10 * SECOND), Some(10 * SECOND)),
    ] {
        let settings = SettingsBuilder::new(0, 2)
            .max_retry_after(max_retry_after.map(Duration::from_micros))
            .build();
        let mut gateway = GatewayHarness::with_servers(1, settings, SECOND, 2);
        gateway.actions.clear();
        for _ in 0..20 {
            gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * SECOND);
        }
        assert_eq!(
            retry_afters(&gateway.actions).last(),
            Some(&expected),
            "maximum {max_retry_after:?}"
        );
    }
}

/// A client whose units are there waits for servers, which need about the mean latency to finish what
/// they hold.
#[test]
fn client_rejected_for_lack_of_servers_is_told_the_mean_latency() {
    let mut gateway = GatewayHarness::new(1, settings(0, 1), SECOND);
    gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, SECOND);
    gateway.advance(SECOND);
    assert_eq!(retry_afters(&gateway.actions), [Some(100 * MILLISECOND)]);
}

/// In a large fleet the account at the gateway does not show what the quota's owners have left. The
/// client is told the time in which its units are refilled.
#[test]
fn client_rejected_by_quota_owner_is_told_when_its_units_are_refilled() {
    let mut gateway = GatewayHarness::sole_gateway(5, settings(0, LARGE_FLEET), SECOND, 8);
    let mut waits = Vec::new();
    for _ in 0..20 {
        waits.extend(request_once(&mut gateway));
    }
    let shortest = waits.iter().min().expect("a rejection");
    assert!(*shortest >= 500 * MILLISECOND, "{waits:?}");
}
