//! Requests that can't be answered in time, and when their clients are to retry.

use crate::common::*;
use gateway_core::*;
use std::time::Duration;

/// The `Retry-After` of each rejection, in order.
fn retry_afters(actions: &[Action]) -> Vec<Option<Micros>> {
    let retry_after = |action: &Action| match action {
        Action::Reject { retry_after, .. } => {
            Some(retry_after.map(|retry_after| retry_after.as_micros() as Micros))
        }
        _ => None,
    };
    actions.iter().filter_map(retry_after).collect()
}

/// A request is not delayed until its token bucket covers it, but rejected with a `Retry-After`.
#[test]
fn a_rejection_tells_when_the_token_bucket_will_cover_the_request() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 1), S, 8);
    let mut retry_after = |wait: Micros| {
        gateway.now += wait;
        gateway.actions.clear();
        gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * S);
        retry_afters(&gateway.actions).into_iter().flatten().next()
    };
    for _ in 0..4 {
        assert_eq!(retry_after(0), None, "the burst is sent");
    }
    assert_eq!(
        retry_after(0),
        Some(80 * MS),
        "a whole unit is missing, but the objective would be over"
    );
    let soon = retry_after(950 * MS).expect("still short");
    assert!((49 * MS..51 * MS).contains(&soon), "{soon}");
    assert_eq!(retry_after(50 * MS), None, "it is covered then");
}

/// A rejection has a `Retry-After` if the settings allow one, and no longer one than they allow.
#[test]
fn retry_after_keeps_to_the_settings() {
    for (longest, expected) in [
        (None, None),
        (Some(5 * MS), Some(5 * MS)),
        (Some(10 * S), Some(80 * MS)),
    ] {
        let settings = SettingsBuilder::new(0, 2)
            .max_retry_after(longest.map(Duration::from_micros))
            .build();
        let mut gateway = GatewayHarness::with_servers(1, settings, S, 2);
        gateway.actions.clear();
        for _ in 0..20 {
            gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * S);
        }
        assert_eq!(
            retry_afters(&gateway.actions).last(),
            Some(&expected),
            "at most {longest:?}"
        );
    }
}

/// By half of its timeout a client is notified that nothing was sent, and when to retry.
#[test]
fn a_request_that_is_unsent_at_half_of_its_timeout_is_rejected() {
    let mut gateway = GatewayHarness::new(1, settings(0, 2), S);
    for (class, timeout) in [
        (IDEMPOTENT, 2 * S),
        (NON_IDEMPOTENT, S),
        (KEYED_BY_CELL, 600 * MS),
    ] {
        let id = gateway.request(class, UNLIMITED, CUSTOMER, timeout);
        gateway.advance(timeout / 2);
        let is_rejection = |action: &Action| {
            let Action::Reject {
                id: rejected,
                retry_after,
            } = action
            else {
                return false;
            };
            *rejected == id && retry_after.is_some()
        };
        assert!(gateway.actions.iter().any(is_rejection), "{class:?}");
    }
}

#[test]
fn a_client_with_a_short_timeout_is_rejected_immediately() {
    for timeout in [0, 1, 5 * MS, 19 * MS] {
        let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), S, 0);
        let id = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, timeout);
        let is_rejection =
            |action: &Action| matches!(action, Action::Reject { id: of, .. } if *of == id);
        assert!(gateway.actions.iter().any(is_rejection), "{timeout} µs");
    }
}
