//! Servers that stall or can't be reached are left alone, and the others of their zone are not.

use crate::common::*;
use gateway_core::*;

fn cancels(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::CancelAttempt { .. }))
}

/// A gateway that had no CPU for a while first reads what has come, before it calls a server stalled.
#[test]
fn a_late_timer_ejects_no_server() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), S, 4);
    gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 9 * S);
    assert_eq!(gateway.in_flight.len(), 1);
    gateway.now += 1500 * MS;
    let late = gateway.handle(Event::TimerFired { token: 0 });
    assert!(!cancels(&late));
    assert!(cancels(&gateway.advance(50 * MS)), "still stalled");
}

#[test]
fn an_idempotent_request_moves_on_from_a_stalled_server() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), S, 4);
    let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 3 * S);
    let stalled = gateway.server_of(&id);
    let actions = gateway.advance(700 * MS);
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
    assert!(second.is_some(), "sent again");
    assert_ne!(second, stalled, "sent elsewhere");
}

/// A hung machine takes no connection: its probes fail like links that are cut. They must not keep requests away from
/// its whole zone.
#[test]
fn probes_of_a_dead_server_do_not_count_against_its_zone() {
    const DEAD: ServerId = ServerId(0);
    const NEIGHBOUR: ServerId = ServerId(2);
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), S, 4);
    let mut to_neighbour = 0;
    for number in 0..600 {
        let known_to_be_dead = number >= 300;
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * S);
        gateway.advance(10 * MS);
        while let Some(server) = gateway.server_of(&id) {
            let outcome = match server {
                DEAD if known_to_be_dead => AttemptOutcome::Unreachable,
                DEAD => {
                    gateway.advance(900 * MS); // it stalls, until the attempt is cancelled and it is ejected
                    AttemptOutcome::Cancelled
                }
                _ => AttemptOutcome::Success,
            };
            gateway.finish(&id, outcome);
            to_neighbour += u32::from(known_to_be_dead && server == NEIGHBOUR);
        }
        gateway.advance(40 * MS);
    }
    assert!(
        to_neighbour > 60,
        "{to_neighbour} of 300 went to the healthy server of that zone"
    );
}

/// A server that takes no connection is left alone, also where most are so, and costs no request its answer.
#[test]
fn a_large_fleet_backs_off_from_unreachable_servers() {
    let mut gateway = GatewayHarness::sole_gateway(5, settings(0, LARGE_FLEET), S, 10);
    let mut served = 0;
    let mut unreachable = 0;
    for _ in 0..100 {
        let id = gateway.request(NON_IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * S);
        while let Some(server) = gateway.server_of(&id) {
            if server.0 < 6 {
                unreachable += 1;
                gateway.finish(&id, AttemptOutcome::Unreachable);
            } else {
                served += 1;
                gateway.finish(&id, AttemptOutcome::Success);
            }
        }
        gateway.advance(50 * MS);
    }
    // In 5 s each of the six is tried some four times, its backoff doubling from 0.5 s on.
    assert!(
        served >= 97 && unreachable <= 36,
        "{served} served, {unreachable} unreachable"
    );
}
