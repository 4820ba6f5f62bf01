//! The state of one server: latency decay, connect backoff and warm-up.

use super::*;
use crate::types::ServerId;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Returns an unknown server that started at 1 ms.
fn server() -> Server {
    let endpoint = Endpoint {
        server: ServerId(1),
        started_at: Some(at(1000)),
        ..Endpoint::default()
    };
    Server::unknown(endpoint, at(0), 1)
}

#[test]
fn latency_moves_halfway_to_that_of_fleet_in_half_life() {
    let mut server = server();
    assert_eq!(
        server.decayed_latency_us(at(0), 20.0, 100.0),
        None,
        "the latency is unknown"
    );
    server.observe_latency(at(1000), 60.0, 0.5, 20.0);
    assert_eq!(server.observed_latency_us(), Some(40.0));
    assert_eq!(server.decayed_latency_us(at(1100), 20.0, 100.0), Some(30.0));
}

#[test]
fn connect_backoff_doubles_up_to_limit_and_resets_on_connect() {
    let backoff = ConnectBackoff {
        initial: Duration::from_micros(10),
        max_doublings: 2,
    };
    let mut server = server();
    let backoffs_us = [10, 20, 40, 40].map(|_| {
        server.observe_connect(at(1000), true, backoff);
        server
            .connect_backoff_until
            .duration_since(at(1000))
            .as_micros()
    });
    assert_eq!(backoffs_us, [10, 20, 40, 40]);
    server.observe_connect(at(1000), false, backoff);
    assert_eq!(server.connect_backoff_until, at(0));
    server.observe_connect(at(1000), true, backoff);
    assert_eq!(server.connect_backoff_until, at(1010));
}

#[test]
fn capacity_grows_from_start_over_warm_up_period() {
    let rules = ServerRules {
        warm_up_from: 0.25,
        warm_up_period: Duration::from_micros(100),
        overload_multiple: 3.0,
        overload_window: Duration::from_micros(1),
    };
    let fractions = [1000, 1050, 1100, 5000].map(|now| server().warm_up_fraction(&rules, at(now)));
    assert_eq!(fractions, [0.25, 0.625, 1.0, 1.0]);
    let long_running = Server::unknown(Endpoint::default(), at(0), 1);
    assert!(long_running.is_warm(&rules, at(0)));
}
