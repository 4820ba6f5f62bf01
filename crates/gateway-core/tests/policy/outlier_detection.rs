//! Tests that stalled and unreachable servers receive no requests, while the other servers of their
//! zone still do.

use crate::common::*;
use gateway_core::*;
use std::time::Duration;

fn cancels_attempt(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::CancelAttempt { .. }))
}

/// A timer fires late if the gateway itself had no CPU for a while. Answers may then wait unread,
/// so the gateway must not yet consider the server stalled.
#[test]
fn late_timer_cancels_no_attempt() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 9 * SECOND);
    assert_eq!(gateway.in_flight.len(), 1);
    gateway.now += 1500 * MILLISECOND;
    let actions_of_late_timer = gateway.handle(Event::TimerFired { token: 0 });
    assert!(!cancels_attempt(&actions_of_late_timer));
    assert!(
        cancels_attempt(&gateway.advance(50 * MILLISECOND)),
        "the next timer cancels the attempt at the stalled server"
    );
}

#[test]
fn retries_idempotent_request_of_stalled_server_on_another_server() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 3 * SECOND);
    let stalled = gateway.server_of(&id);
    let actions = gateway.advance(700 * MILLISECOND);
    assert!(actions.contains(&Action::CancelAttempt {
        id: id.clone(),
        attempt: AttemptNumber(0)
    }));
    assert!(gateway
        .actions
        .iter()
        .any(|action| matches!(action, Action::Warn(_))));
    gateway.finish(&id, AttemptOutcome::Cancelled);
    let second = gateway.server_of(&id);
    assert!(second.is_some(), "the request is sent again");
    assert_ne!(second, stalled, "the retry goes to another server");
}

/// A client that waits for 3 s can still be served by another server if its attempt is stalled, however
/// long the latency objective of its class is.
#[test]
fn stalled_attempt_is_retried_in_the_time_of_its_client_whatever_its_objective() {
    for objective_ms in [10, 800, 60_000] {
        let settings = SettingsBuilder::new(0, 1)
            .latency_objective(Duration::from_millis(objective_ms))
            .build();
        let mut gateway = GatewayHarness::with_servers(3, settings, SECOND, 4);
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 3 * SECOND);
        assert!(
            !cancels_attempt(&gateway.advance(390 * MILLISECOND)),
            "a pause of a sound server is no stall, objective of {objective_ms} ms"
        );
        assert!(
            cancels_attempt(&gateway.advance(300 * MILLISECOND)),
            "{objective_ms} ms"
        );
        gateway.finish(&id, AttemptOutcome::Cancelled);
        assert!(gateway.server_of(&id).is_some(), "{objective_ms} ms");
    }
}

/// Clients that wait only 400 ms need the retry after a part of that time.
#[test]
fn stalled_attempt_of_short_request_is_retried_in_the_time_of_its_client() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    // Fast answers, so that an attempt is expected to need little time.
    gateway.complete_sequential_requests(150, 2 * MILLISECOND);
    let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 400 * MILLISECOND);
    assert!(cancels_attempt(&gateway.advance(300 * MILLISECOND)));
    gateway.finish(&id, AttemptOutcome::Cancelled);
    assert!(gateway.server_of(&id).is_some());
}

/// Cancelled with too little time left for another attempt, the request of a client would only lose
/// the answer that may still come.
#[test]
fn stalled_attempt_stays_in_flight_if_the_time_left_is_too_short_for_another() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 700 * MILLISECOND);
    assert!(!cancels_attempt(&gateway.advance(660 * MILLISECOND)));
}

/// A machine that hangs accepts no connections, so probes of it fail as if the link to its zone
/// were cut. These failures must not keep requests away from the other servers of the zone.
#[test]
fn probes_of_hung_server_do_not_count_against_its_zone() {
    const HUNG: ServerId = ServerId(0);
    /// The other server in the zone of the hung server.
    const NEIGHBOUR: ServerId = ServerId(2);
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), SECOND, 4);
    let mut to_neighbour = 0;
    for number in 0..600 {
        let is_known_to_hang = number >= 300;
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
        gateway.advance(10 * MILLISECOND);
        while let Some(server) = gateway.server_of(&id) {
            let outcome = match server {
                HUNG if is_known_to_hang => AttemptOutcome::Unreachable,
                HUNG => {
                    // The server stalls until the attempt is cancelled and the server is ejected.
                    gateway.advance(900 * MILLISECOND);
                    AttemptOutcome::Cancelled
                }
                _ => AttemptOutcome::Success,
            };
            gateway.finish(&id, outcome);
            to_neighbour += u32::from(is_known_to_hang && server == NEIGHBOUR);
        }
        gateway.advance(40 * MILLISECOND);
    }
    assert!(
        to_neighbour > 60,
        "only {to_neighbour} of 300 requests were sent to the healthy server of the zone"
    );
}

/// Connect backoff keeps requests away from servers that accept no connections, even if most
/// servers are unreachable, so that at most 3 of 100 requests fail because of them.
#[test]
fn large_fleet_backs_off_from_unreachable_servers() {
    let mut gateway = GatewayHarness::sole_gateway(5, settings(0, LARGE_FLEET), SECOND, 10);
    let mut served = 0;
    let mut unreachable = 0;
    for _ in 0..100 {
        let id = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
        while let Some(server) = gateway.server_of(&id) {
            if server.0 < 6 {
                unreachable += 1;
                gateway.finish(&id, AttemptOutcome::Unreachable);
            } else {
                served += 1;
                gateway.finish(&id, AttemptOutcome::Success);
            }
        }
        gateway.advance(50 * MILLISECOND);
    }
    // In 5 s each of the six servers is tried about four times, as its backoff doubles from 0.5 s
    // on.
    assert!(
        served >= 97 && unreachable <= 36,
        "{served} of 100 requests were served, {unreachable} attempts could not connect"
    );
}
