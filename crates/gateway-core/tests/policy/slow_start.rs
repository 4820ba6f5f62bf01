//! Servers that are warming up receive no more attempts than they can process.

use crate::common::*;
use gateway_core::*;
use std::time::Duration;

#[test]
fn warming_up_server_receives_fewer_attempts_than_warm_server() {
    let mut gateway = GatewayHarness::with_servers(3, settings(0, 1), 100 * SECOND, 1);
    for _ in 0..400 {
        let id = gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
        gateway.advance(20 * MILLISECOND);
        if gateway.server_of(&id).is_some() {
            gateway.finish(&id, AttemptOutcome::Success);
        }
    }
    let warming_up = Endpoint {
        started_at: Some(Timestamp::from_micros(gateway.now)),
        ..ready_endpoint(9)
    };
    gateway.update_endpoints(EndpointUpdate::Snapshot, vec![warming_up]);
    let mut sent = 0;
    for _ in 0..50 {
        let before = gateway.sent_count();
        gateway.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
        gateway.advance(20 * MILLISECOND);
        sent += gateway.sent_count() - before;
        gateway.complete_all();
    }
    // The warm server completed about 45 attempts per second. The new server can complete a fifth
    // of that rate, and collapses at three times that fifth.
    assert!((1..=27).contains(&sent), "{sent} attempts were sent");
}

const SECONDS: usize = 5;

/// Returns how many attempts one gateway sends in each second to a server that has just started.
/// The gateway is the only one of its customer.
fn sent_by_second(number: u32) -> [usize; SECONDS] {
    let mut gateway = Gateway::new(
        u64::from(number),
        settings(number, LARGE_FLEET),
        Timestamp::from_micros(SECOND),
    )
    .expect("valid settings");
    let endpoints = vec![Endpoint {
        started_at: Some(Timestamp::from_micros(SECOND)),
        ..ready_endpoint(0)
    }];
    let mut actions = Vec::new();
    gateway.handle(
        Timestamp::from_micros(SECOND),
        Event::EndpointsUpdated {
            kind: EndpointUpdate::Snapshot,
            endpoints,
        },
        &mut actions,
    );
    let mut sent = [0; SECONDS];
    for step in 0..SECONDS as u64 * 100 {
        let now = SECOND + step * 10 * MILLISECOND;
        gateway.handle(
            Timestamp::from_micros(now),
            Event::TimerFired { token: 0 },
            &mut actions,
        );
        if step % 25 == 0 {
            let request = Event::RequestReceived {
                id: RequestId(format!("c{step}").into()),
                class: IDEMPOTENT,
                plan: UNLIMITED,
                customer: CustomerId(9),
                units: Units::new(1.0),
                gateways: GatewaySet {
                    first: GatewayId(number),
                    count: 1,
                },
                client_timeout: Duration::from_micros(SECOND),
            };
            gateway.handle(Timestamp::from_micros(now), request, &mut actions);
        }
        sent[(step / 100) as usize] += count_sent(&actions);
        actions.clear();
    }
    sent
}

#[test]
fn hundreds_of_gateways_do_not_overload_warming_up_server() {
    let mut by_second = [0; SECONDS];
    for number in 0..LARGE_FLEET {
        for (sum, sent) in by_second.iter_mut().zip(sent_by_second(number)) {
            *sum += sent;
        }
    }
    // The gateways exchange no messages, and the server has a fifth to half of its capacity: all
    // gateways together send on average that fraction of 1.5 attempts per second. The limit of 5
    // leaves room for random variation.
    assert!(
        by_second.iter().all(|sent| *sent <= 5),
        "attempts in each second: {by_second:?}"
    );
    assert!(
        by_second.iter().sum::<usize>() >= 1,
        "the server receives some attempts"
    );
}
