//! Tests of discovery, and of what gateways know of draining servers.

use crate::common::{endpoint, MICROSECOND, SECOND};
use fleet_lab::world::discovery::{Discovery, PollKind, PollResult};
use fleet_lab::world::draining::{DrainGrace, DrainingServers};
use fleet_lab::world::{random_stream, TimeSpan, START};
use gateway_core::{Endpoint, EndpointState, EndpointUpdate, Event, GatewayId, ServerId};
use std::time::Duration;

#[test]
fn gateway_receives_all_missed_changes_after_discovery_outage() {
    let outage = TimeSpan {
        start: START + SECOND,
        end: START + 9 * SECOND,
    };
    let list = vec![endpoint(1, None), endpoint(2, None)];
    let mut discovery = Discovery::new(
        random_stream(1, 2),
        list,
        2,
        Duration::ZERO..4 * MICROSECOND,
        vec![outage],
    );
    let (gateway, other_gateway) = (GatewayId(0), GatewayId(1));
    discovery.publish(Endpoint {
        state: EndpointState::Draining,
        ..endpoint(1, None)
    });
    discovery.publish(endpoint(3, Some(START)));
    assert!(
        !discovery.knows_server(gateway, ServerId(3))
            && discovery.draining_since(gateway, ServerId(1)).is_none()
    );
    let PollResult::RetryAt(until) =
        discovery.poll(START + 2 * SECOND, gateway, None, PollKind::Scheduled)
    else {
        panic!("expected an outage")
    };
    assert!((outage.end..outage.end + 4 * MICROSECOND).contains(&until));
    assert!(matches!(
        discovery.poll(START + 2 * SECOND, gateway, None, PollKind::Requested),
        PollResult::CallFailed
    ));
    let PollResult::Update(Event::EndpointsUpdated { kind, endpoints }) =
        discovery.poll(until, gateway, None, PollKind::Scheduled)
    else {
        panic!("expected an update")
    };
    assert_eq!((kind, endpoints.len()), (EndpointUpdate::Delta, 2));
    assert_eq!(discovery.draining_since(gateway, ServerId(1)), Some(until));
    assert!(
        discovery.knows_server(gateway, ServerId(3))
            && !discovery.knows_server(other_gateway, ServerId(3))
    );
    assert!(matches!(
        discovery.poll(until, gateway, None, PollKind::Scheduled),
        PollResult::NoChange
    ));
    let isolated = discovery.poll(
        until,
        other_gateway,
        Some(until + SECOND),
        PollKind::Scheduled,
    );
    assert!(matches!(isolated, PollResult::RetryAt(at) if at >= until + SECOND));
    // A server that becomes ready again is no longer draining, and its new start is not known yet.
    assert!(discovery.knows_latest_start(gateway, ServerId(1)));
    discovery.publish(endpoint(1, Some(until)));
    assert!(
        discovery.knows_server(gateway, ServerId(1))
            && !discovery.knows_latest_start(gateway, ServerId(1))
    );
    discovery.poll(until, gateway, None, PollKind::Scheduled);
    assert!(
        discovery.knows_latest_start(gateway, ServerId(1))
            && discovery.draining_since(gateway, ServerId(1)).is_none()
    );
    // A gateway that restarts has the endpoint list that it last received.
    let Event::EndpointsUpdated {
        kind: EndpointUpdate::Snapshot,
        endpoints,
    } = discovery.last_snapshot(other_gateway)
    else {
        panic!("expected a snapshot")
    };
    assert_eq!(endpoints.len(), 2);
}

#[test]
fn drain_is_known_from_first_notification_until_server_is_ready_again() {
    let mut draining = DrainingServers::default();
    let server = ServerId(1);
    assert!(!draining.state_received(START, server, EndpointState::Ready));
    assert!(draining.state_received(START + MICROSECOND, server, EndpointState::Draining));
    assert!(
        !draining.state_received(START + 2 * MICROSECOND, server, EndpointState::Gone),
        "server was already draining"
    );
    assert_eq!(
        (draining.since(server), draining.since(ServerId(2))),
        (Some(START + MICROSECOND), None)
    );
    assert!(!draining.state_received(START + 3 * MICROSECOND, server, EndpointState::Ready));
    assert_eq!(draining.since(server), None);
    assert!(draining.state_received(START + 4 * MICROSECOND, server, EndpointState::Gone));
    let grace = DrainGrace(100 * MICROSECOND);
    assert!(
        !grace.is_over(START + 100 * MICROSECOND, START)
            && grace.is_over(START + 101 * MICROSECOND, START)
    );
}
