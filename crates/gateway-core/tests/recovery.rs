//! Tests of the recovery from overload: once servers are fast again, the gateway uses them again.

mod common;

use common::*;
use gateway_core::*;
use std::collections::{BTreeMap, BTreeSet};

const SERVERS: u64 = 8;
/// Number of requests that a server processes concurrently.
const CORES: f64 = 4.0;
/// Number of requests in flight beyond which the throughput of a server falls.
const THRASHING_FROM: f64 = 3.5 * CORES;
/// Mean latency of a request at a healthy server that has no other requests in flight.
const HEALTHY_SERVICE_TIME: Micros = 100 * MILLISECOND;

/// Results of one call of [`Simulation::drive`].
struct DriveResult {
    /// Fraction of the requests of the lowest class that were sent.
    lowest_class_sent: f64,
    /// Fraction of all attempts that were sent to server 0.
    to_first_server: f64,
}

/// A gateway, and servers that slow down when they have more requests in flight than they process
/// concurrently.
struct Simulation {
    gateway: GatewayHarness,
    /// When the attempt in flight of each request is answered.
    answers_at: BTreeMap<RequestId, Micros>,
    requests: u64,
    next_request_at: Micros,
    /// Requests of the lowest class in the current call of [`Simulation::drive`].
    lowest_class: BTreeSet<RequestId>,
    random: fastrand::Rng,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Simulation {
            gateway: GatewayHarness::with_servers(seed, settings(0, 1), SECOND, SERVERS),
            answers_at: BTreeMap::new(),
            requests: 0,
            next_request_at: SECOND,
            lowest_class: BTreeSet::new(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Passes `rate` requests per second to the gateway, a third of them of the lowest class.
    /// `service_time` returns the mean latency of a request at a server that has no other requests
    /// in flight.
    fn drive(
        &mut self,
        seconds: u64,
        rate: u64,
        service_time: impl Fn(ServerId) -> Micros,
    ) -> DriveResult {
        let end = self.gateway.now + seconds * SECOND;
        self.next_request_at = self.gateway.now;
        self.lowest_class.clear();
        while self.gateway.now < end {
            self.gateway.advance(2 * MILLISECOND);
            self.deliver_answers();
            self.receive_requests(rate);
            self.schedule_answers(&service_time);
        }
        self.take_result()
    }

    fn deliver_answers(&mut self) {
        let now = self.gateway.now;
        let is_due = |(id, at): (&RequestId, &Micros)| (*at <= now).then(|| id.clone());
        let due: Vec<_> = self.answers_at.iter().filter_map(is_due).collect();
        for id in due {
            self.answers_at.remove(&id);
            self.gateway.finish(&id, AttemptOutcome::Success);
        }
    }

    fn receive_requests(&mut self, rate: u64) {
        while self.next_request_at <= self.gateway.now {
            self.next_request_at += SECOND / rate;
            self.requests += 1;
            let class = if self.requests.is_multiple_of(3) {
                IDEMPOTENT
            } else {
                NON_IDEMPOTENT
            };
            let id = self
                .gateway
                .request(class, UNLIMITED, CustomerId(self.requests), 3 * SECOND);
            if class == IDEMPOTENT {
                self.lowest_class.insert(id);
            }
        }
    }

    /// Schedules the answer of each attempt that has just been sent.
    fn schedule_answers(&mut self, service_time: impl Fn(ServerId) -> Micros) {
        let now = self.gateway.now;
        let mut in_flight = BTreeMap::<ServerId, f64>::new();
        for attempt in &self.gateway.in_flight {
            *in_flight.entry(attempt.server).or_default() += 1.0;
        }
        for attempt in &self.gateway.in_flight {
            let work = (0.3 - 0.7 * self.random.f64().max(1e-6).ln()).min(4.0);
            let in_flight_at_server = in_flight[&attempt.server];
            let slowdown = (in_flight_at_server / CORES).max(1.0)
                * (in_flight_at_server / THRASHING_FROM).max(1.0);
            let latency = service_time(attempt.server) as f64 * work * slowdown;
            self.answers_at
                .entry(attempt.request.clone())
                .or_insert(now + latency as Micros);
        }
    }

    fn take_result(&mut self) -> DriveResult {
        let mut sent = 0.0;
        let mut lowest_class = 0.0;
        let mut to_first_server = 0.0;
        for action in self.gateway.actions.drain(..) {
            let Action::SendAttempt { id, server, .. } = action else {
                continue;
            };
            sent += 1.0;
            lowest_class += f64::from(u8::from(self.lowest_class.contains(&id)));
            to_first_server += f64::from(u8::from(server == ServerId(0)));
        }
        DriveResult {
            lowest_class_sent: lowest_class / self.lowest_class.len() as f64,
            to_first_server: to_first_server / sent,
        }
    }
}

fn all_healthy(_: ServerId) -> Micros {
    HEALTHY_SERVICE_TIME
}

/// Makes half of the servers eight times as slow, more than the other servers can compensate for.
fn half_are_slow(server: ServerId) -> Micros {
    if server.0 < SERVERS / 2 {
        8 * HEALTHY_SERVICE_TIME
    } else {
        HEALTHY_SERVICE_TIME
    }
}

fn first_is_slow(server: ServerId) -> Micros {
    if server.0 == 0 {
        7 * HEALTHY_SERVICE_TIME
    } else {
        HEALTHY_SERVICE_TIME
    }
}

#[test]
fn lowest_class_is_admitted_within_five_seconds_after_overload() {
    for seed in 1..=3 {
        let mut simulation = Simulation::new(seed);
        let before = simulation.drive(5, 250, all_healthy).lowest_class_sent;
        let overloaded = simulation.drive(10, 250, half_are_slow).lowest_class_sent;
        assert!(
            before > 0.95 && overloaded < 0.5,
            "seed {seed}: no overload: fraction of lowest class sent: {before}, then {overloaded}"
        );
        simulation.drive(5, 250, all_healthy);
        let after = simulation.drive(5, 250, all_healthy).lowest_class_sent;
        assert!(
            after > 0.95,
            "seed {seed}: sent only a fraction of {after} of the lowest class"
        );
    }
}

/// Only one server is slow, and the other servers have enough capacity without it.
#[test]
fn recovered_server_is_used_within_five_seconds() {
    for seed in 1..=3 {
        let mut simulation = Simulation::new(seed);
        simulation.drive(10, 150, first_is_slow);
        simulation.drive(5, 150, all_healthy);
        let share = simulation.drive(5, 150, all_healthy).to_first_server;
        assert!(
            share > 0.25 / SERVERS as f64,
            "seed {seed}: only a fraction of {share} of the attempts went to the recovered server"
        );
    }
}
