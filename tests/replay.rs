//! One seeded log of events, replayed through the library: its actions are hashed, and compared with the
//! digests of a version whose decisions are to be kept. What is hashed are the values of an action alone, in an encoding
//! written out by hand: no name of a type, a variant or a field is in it, so that a renaming changes no digest.
//!
//! To record the digests anew, where decisions are changed on purpose: run `cargo test --test replay` on the new
//! version, put the lines of its message in place of [`RECORDED`], name the commit that gave them, and say in the
//! message of the commit what changed.

mod common;

use common::*;
use edge_node::*;
use fastrand::Rng;
use fnv::FnvHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::Hasher;

/// Writes one action of a gateway into a digest: its number by kind, then its values in a fixed order, each text and
/// list of bytes behind its length.
fn write_action(digest: &mut FnvHasher, gateway: usize, action: &Action) {
    digest.write(&(gateway as u64).to_le_bytes());
    match action {
        Action::SendAttempt { id, server, timeout } => {
            write_kind_and_id(digest, 0, id);
            digest.write(&server.0.to_le_bytes());
            write_optional(digest, *timeout);
        }
        Action::Reject { id, retry_after } => {
            write_kind_and_id(digest, 1, id);
            write_optional(digest, *retry_after);
        }
        Action::Fail { id } => {
            write_kind_and_id(digest, 2, id);
        }
        Action::CancelAttempt { id, attempt } => {
            write_kind_and_id(digest, 3, id);
            digest.write(&attempt.0.to_le_bytes());
        }
        Action::Broadcast { bytes } => {
            digest.write(&[4]);
            write_bytes(digest, bytes);
        }
        Action::SendToPeer { to, bytes } => {
            digest.write(&[5]);
            digest.write(&to.0.to_le_bytes());
            write_bytes(digest, bytes);
        }
        Action::SetTimer { after, token } => {
            digest.write(&[6]);
            digest.write(&after.to_le_bytes());
            digest.write(&token.to_le_bytes());
        }
        Action::WatchEndpoints => digest.write(&[7]),
        Action::Warn(warning) => {
            digest.write(&[8]);
            write_numbers(digest, &warning.to_string());
        }
    }
}

fn write_kind_and_id(digest: &mut FnvHasher, kind: u8, id: &RequestId) {
    digest.write(&[kind]);
    write_bytes(digest, id.0.as_bytes());
}

fn write_bytes(digest: &mut FnvHasher, bytes: &[u8]) {
    digest.write(&(bytes.len() as u64).to_le_bytes());
    digest.write(bytes);
}

fn write_optional(digest: &mut FnvHasher, value: Option<u64>) {
    digest.write(&[u8::from(value.is_some())]);
    digest.write(&value.unwrap_or_default().to_le_bytes());
}

/// The numbers in a warning: its words are for people and may be reworded, what it measures may not change.
fn write_numbers(digest: &mut FnvHasher, text: &str) {
    let numbers = text.split(|letter: char| !letter.is_ascii_digit() && letter != '.');
    for number in numbers.filter(|number| number.contains(|letter: char| letter.is_ascii_digit())) {
        write_bytes(digest, number.trim_matches('.').as_bytes());
    }
}

struct FleetSize {
    gateways: u32,
    servers: u64,
}

/// The digest of one simulation.
#[derive(Clone, Copy, PartialEq)]
struct RecordedDigest {
    gateways: u32,
    servers: u64,
    seed: u64,
    digest: u64,
}

const fn digest(gateways: u32, servers: u64, seed: u64, digest: u64) -> RecordedDigest {
    RecordedDigest { gateways, servers, seed, digest }
}

impl fmt::Display for RecordedDigest {
    /// As its line in [`RECORDED`].
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RecordedDigest { gateways, servers, seed, digest } = self;
        write!(f, "    digest({gateways}, {servers}, {seed}, {digest:#018x}),")
    }
}

/// Digests of the values alone, recorded on e73c6e6: there the digests of the `Debug` text that stood here before still
/// held.
const RECORDED: &[RecordedDigest] = &[
    digest(3, 14, 1, 0x9bf59f11578f08d0),
    digest(3, 14, 2, 0x991729a2125d515a),
    digest(3, 60, 1, 0x65c3b3e32ac738c0),
    digest(3, 60, 2, 0x363e64363ee82d17),
    digest(3, 200, 1, 0xce0f2a757d6f8a7b),
    digest(3, 200, 2, 0x2b3c4e7eb2c54060),
    digest(30, 200, 1, 0x964eb82532babbff),
    digest(30, 200, 2, 0xa6b611fcdb891ef3),
    digest(300, 14, 1, 0x9f57ad392c9f67ec),
    digest(300, 14, 2, 0xecb5831cfa794157),
    digest(300, 60, 1, 0x565633456e888c9f),
    digest(300, 60, 2, 0xcae52c683d6fd9f1),
    digest(300, 200, 1, 0xf51601c065ccf30b),
    digest(300, 200, 2, 0x0ce8e5e2a6414f7a),
];

/// Every fleet that is simulated, whatever was recorded, and with which seeds.
const FLEETS: [FleetSize; 7] = [
    FleetSize { gateways: 3, servers: 14 },
    FleetSize { gateways: 3, servers: 60 },
    FleetSize { gateways: 3, servers: 200 },
    FleetSize { gateways: 30, servers: 200 },
    FleetSize { gateways: 300, servers: 14 },
    FleetSize { gateways: 300, servers: 60 },
    FleetSize { gateways: 300, servers: 200 },
];
const SEEDS: [u64; 2] = [1, 2];

const STARTED_AT: Micros = S;
const SPAN: Micros = 30 * S;
/// Gateways of a fleet that are simulated; messages to the others are lost.
const SIMULATED_GATEWAYS: u32 = 3;
/// Fleets of more gateways than this share quotas by leases.
const LARGEST_SMALL_FLEET: u32 = 20;

/// How a server behaves.
#[derive(Clone, Copy, PartialEq)]
enum ServerHealth {
    Healthy,
    Slow,
    Failing,
    Unreachable,
    Hung,
}

struct SimulatedServer {
    endpoint: Endpoint,
    health: ServerHealth,
    in_flight: u32,
}

impl SimulatedServer {
    fn healthy(endpoint: Endpoint) -> Self {
        SimulatedServer { endpoint, health: ServerHealth::Healthy, in_flight: 0 }
    }
}

/// Names an attempt in flight.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    gateway: usize,
    request: RequestId,
    attempt: AttemptNumber,
}

struct FinishedAttempt {
    key: AttemptKey,
    server: ServerId,
    outcome: AttemptOutcome,
}

/// What is to happen.
enum Scheduled {
    GatewayEvent { gateway: usize, event: Event },
    AttemptFinished(FinishedAttempt),
}

/// When it is to happen; of several at one time, the one that was scheduled first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduleKey {
    at: Micros,
    sequence: u64,
}

/// How an attempt fares at a server.
struct ServedAttempt {
    latency: Micros,
    outcome: AttemptOutcome,
}

/// When the simulation itself does something next.
struct NextSteps {
    request: Micros,
    endpoint_change: Micros,
    health_change: Micros,
}

struct Simulation {
    now: Micros,
    random: Rng,
    gateways: Vec<Gateway>,
    is_large_fleet: bool,
    servers: BTreeMap<ServerId, SimulatedServer>,
    schedule: BTreeMap<ScheduleKey, Scheduled>,
    last_sequence: u64,
    requests: u64,
    /// Attempts sent for each request of a gateway.
    attempts_sent: BTreeMap<(usize, RequestId), u32>,
    in_flight: BTreeMap<AttemptKey, ScheduleKey>,
    digest: FnvHasher,
    /// Names of all events, actions and outcomes that occurred.
    occurred: BTreeSet<String>,
}

fn simulated_gateway(number: u32, gateways: u32, seed: u64) -> Gateway {
    let settings = SettingsBuilder::new(number, gateways)
        .rate(SMALL_QUOTA, 20.0)
        .burst(SMALL_QUOTA, 30.0)
        .zone(ZoneId(number % 2), 0.02)
        .build();
    Gateway::new(seed + u64::from(number), settings, STARTED_AT).expect("valid settings")
}

impl Simulation {
    fn new(gateways: u32, servers: u64, seed: u64) -> Simulation {
        let simulated = 0..SIMULATED_GATEWAYS.min(gateways);
        let server = |number| {
            let weight = 1.0 + (number % 3) as f64;
            let endpoint = Endpoint { weight, ..ready_endpoint(number * 7919 + seed) };
            (endpoint.server, SimulatedServer::healthy(endpoint))
        };
        let mut simulation = Simulation {
            now: STARTED_AT,
            random: Rng::with_seed(seed),
            gateways: simulated.map(|number| simulated_gateway(number, gateways, seed)).collect(),
            is_large_fleet: gateways > LARGEST_SMALL_FLEET,
            servers: (0..servers).map(server).collect(),
            schedule: BTreeMap::new(),
            last_sequence: 0,
            requests: 0,
            attempts_sent: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            digest: FnvHasher::default(),
            occurred: BTreeSet::new(),
        };
        simulation.send_snapshot();
        simulation
    }

    fn schedule(&mut self, after: Micros, scheduled: Scheduled) -> ScheduleKey {
        self.last_sequence += 1;
        let key = ScheduleKey { at: self.now + after, sequence: self.last_sequence };
        self.schedule.insert(key, scheduled);
        key
    }

    fn schedule_event(&mut self, after: Micros, gateway: usize, event: Event) {
        self.schedule(after, Scheduled::GatewayEvent { gateway, event });
    }

    fn send_snapshot(&mut self) {
        let endpoints = self.servers.values().map(|server| server.endpoint).collect();
        self.send_endpoints(EndpointUpdate::Snapshot, endpoints);
    }

    fn send_endpoints(&mut self, kind: EndpointUpdate, endpoints: Vec<Endpoint>) {
        for gateway in 0..self.gateways.len() {
            // In order: a delta that comes after a later snapshot would list more servers than there are.
            let after = 15 * MS * gateway as u64;
            let event = Event::EndpointsUpdated { kind, endpoints: endpoints.clone() };
            self.schedule_event(after, gateway, event);
        }
    }

    fn some_server(&mut self) -> Option<ServerId> {
        let index = self.random.usize(0..self.servers.len().max(1));
        self.servers.keys().nth(index).copied()
    }

    /// Servers drain, restart or are replaced; then comes a delta, a snapshot, or a snapshot that leaves one out.
    fn change_endpoints(&mut self) {
        let mut changed = Vec::new();
        for _ in 0..self.random.usize(1..5) {
            let Some(server) = self.some_server() else { continue };
            changed.extend(self.change_server(server));
        }
        match self.random.u8(0..8) {
            0 => self.send_snapshot(),
            1 => self.send_snapshot_without_one(),
            _ => self.send_endpoints(EndpointUpdate::Delta, changed),
        }
    }

    fn send_snapshot_without_one(&mut self) {
        let left_out = self.some_server();
        let endpoints = self.servers.values().map(|server| server.endpoint);
        let kept = endpoints.filter(|endpoint| Some(endpoint.server) != left_out).collect();
        self.send_endpoints(EndpointUpdate::Snapshot, kept);
    }

    /// Changes one server, and returns the endpoints that differ.
    fn change_server(&mut self, id: ServerId) -> Vec<Endpoint> {
        let Some(server) = self.servers.get_mut(&id) else { return Vec::new() };
        match self.random.u8(0..10) {
            0..=1 => server.endpoint.state = EndpointState::Draining,
            2..=5 => {
                server.endpoint.state = EndpointState::Ready;
                server.endpoint.started_at = Some(self.now);
                server.health = ServerHealth::Healthy;
            }
            6..=8 => return self.replace_server(id).into(),
            _ => server.endpoint.state = EndpointState::Ready,
        }
        vec![server.endpoint]
    }

    /// A server goes, and another one starts in its place.
    fn replace_server(&mut self, id: ServerId) -> [Endpoint; 2] {
        let before = self.servers.remove(&id).expect("a server that is there").endpoint;
        let gone = Endpoint { state: EndpointState::Gone, ..before };
        let fresh = Endpoint {
            server: ServerId(id.0 + 1_000_003),
            started_at: Some(self.now),
            state: EndpointState::Ready,
            ..before
        };
        self.servers.insert(fresh.server, SimulatedServer::healthy(fresh));
        [gone, fresh]
    }

    fn change_health(&mut self) {
        let health = match self.random.u8(0..8) {
            0 => ServerHealth::Slow,
            1 => ServerHealth::Failing,
            2 => ServerHealth::Unreachable,
            3 => ServerHealth::Hung,
            _ => ServerHealth::Healthy,
        };
        for _ in 0..1 + self.servers.len() / 14 {
            let Some(id) = self.some_server() else { continue };
            if let Some(server) = self.servers.get_mut(&id) {
                server.health = health;
            }
        }
    }

    /// How many gateways a customer's requests come through.
    fn gateways_of(&self, customer: u64) -> u32 {
        match customer {
            36.. if self.is_large_fleet => LARGE_FLEET,
            0..30 if self.is_large_fleet => SIMULATED_GATEWAYS,
            _ => self.gateways.len() as u32,
        }
    }

    fn receive_request(&mut self) {
        self.requests += 1;
        let gateway = self.random.usize(0..self.gateways.len());
        let customer = self.random.u64(0..40);
        let id = RequestId(format!("r{}", self.requests).into());
        let event = Event::RequestReceived {
            id: id.clone(),
            class: ClassId(self.random.usize(0..CLASS_COUNT)),
            plan: PlanId(customer as usize % PLAN_COUNT),
            customer: CustomerId(customer),
            units: 0.25 + self.random.f64() / 2.0,
            gateways: GatewaySet { first: GatewayId(0), count: self.gateways_of(customer) },
            client_timeout: self.random.u64(200 * MS..3 * S),
        };
        self.handle(gateway, event);
        match self.random.u8(0..60) {
            0 => self.handle(gateway, Event::ClientDisconnected { id }),
            1 => self.handle(gateway, Event::StreamStarted { id }),
            2 => self.handle(gateway, Event::WatchFailed),
            3 => self.handle(gateway, Event::PeerMessage { from: GatewayId(1), bytes: vec![3, 2, 9] }),
            _ => {}
        }
    }

    fn handle(&mut self, gateway: usize, event: Event) {
        self.occurred.insert(name_of(&event));
        let mut actions = Vec::new();
        self.gateways[gateway].handle(self.now, event, &mut actions);
        for action in actions {
            write_action(&mut self.digest, gateway, &action);
            self.occurred.insert(name_of(&action));
            self.carry_out(gateway, action);
        }
    }

    fn carry_out(&mut self, gateway: usize, action: Action) {
        match action {
            Action::SendAttempt { id, server, .. } => self.send_attempt(gateway, id, server),
            Action::CancelAttempt { id, attempt } => {
                self.cancel_attempt(AttemptKey { gateway, request: id, attempt });
            }
            Action::Broadcast { bytes } => {
                for to in (0..self.gateways.len()).filter(|to| *to != gateway) {
                    self.send_message(gateway, to, bytes.clone());
                }
            }
            Action::SendToPeer { to, bytes } => self.send_message(gateway, to.0 as usize, bytes),
            Action::SetTimer { after, token } => {
                let delay = if self.random.u8(0..200) == 0 { 80 * MS } else { 0 };
                self.schedule_event(after + delay, gateway, Event::TimerFired { token });
            }
            Action::Reject { .. } | Action::Fail { .. } | Action::WatchEndpoints | Action::Warn(_) => {}
        }
    }

    fn send_attempt(&mut self, gateway: usize, request: RequestId, server: ServerId) {
        let sent = self.attempts_sent.entry((gateway, request.clone())).or_default();
        let key = AttemptKey { gateway, request, attempt: AttemptNumber(*sent) };
        *sent += 1;
        let ServedAttempt { latency, outcome } = self.serve(server);
        self.finish_after(latency, FinishedAttempt { key, server, outcome });
    }

    fn cancel_attempt(&mut self, key: AttemptKey) {
        let Some(scheduled) = self.in_flight.remove(&key) else { return };
        let Some(Scheduled::AttemptFinished(attempt)) = self.schedule.remove(&scheduled) else { return };
        let cancelled = FinishedAttempt { outcome: AttemptOutcome::Cancelled, ..attempt };
        self.finish_after(MS, cancelled);
    }

    fn finish_after(&mut self, after: Micros, attempt: FinishedAttempt) {
        let key = attempt.key.clone();
        let scheduled = self.schedule(after, Scheduled::AttemptFinished(attempt));
        self.in_flight.insert(key, scheduled);
    }

    fn send_message(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let lost = self.random.u8(0..20) == 0 || to >= self.gateways.len();
        let after = self.random.u64(MS..25 * MS);
        if !lost {
            let event = Event::PeerMessage { from: GatewayId(from as u32), bytes };
            self.schedule_event(after, to, event);
        }
    }

    /// How long an attempt takes at a server, and how it ends.
    fn serve(&mut self, server: ServerId) -> ServedAttempt {
        use AttemptOutcome::{
            ConnectionLost, NotSent, Overloaded, ServerError, Success, TimedOut, Unreachable,
        };
        let Some(server) = self.servers.get_mut(&server) else {
            return ServedAttempt { latency: MS, outcome: Unreachable };
        };
        server.in_flight += 1;
        let queue = f64::from(server.in_flight) / server.endpoint.weight;
        let latency = (20e3 * (0.5 + self.random.f64()) * queue.max(1.0)) as Micros;
        let draw = self.random.u8(0..100);
        let (latency, outcome) = match server.health {
            _ if draw == 0 => (latency, ConnectionLost),
            _ if draw == 1 => (MS, NotSent),
            ServerHealth::Healthy if draw == 2 => (latency, ServerError),
            ServerHealth::Healthy => (latency, Success),
            ServerHealth::Slow if draw < 30 => (8 * latency, TimedOut),
            ServerHealth::Slow => (8 * latency, Success),
            ServerHealth::Failing if draw < 40 => (latency, ServerError),
            ServerHealth::Failing if draw < 60 => (MS, Overloaded),
            ServerHealth::Failing if draw < 70 => (latency, ConnectionLost),
            ServerHealth::Failing => (latency, Success),
            ServerHealth::Unreachable => (MS, Unreachable),
            ServerHealth::Hung => (4 * S, TimedOut),
        };
        ServedAttempt { latency, outcome }
    }

    fn carry_out_scheduled(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::GatewayEvent { gateway, event } => self.handle(gateway, event),
            Scheduled::AttemptFinished(attempt) => self.finish_attempt(attempt),
        }
    }

    fn finish_attempt(&mut self, FinishedAttempt { key, server, outcome }: FinishedAttempt) {
        self.occurred.insert(name_of(&outcome));
        self.in_flight.remove(&key);
        let in_flight = self.servers.get_mut(&server).map_or(0, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.in_flight
        });
        let answered = matches!(
            outcome,
            AttemptOutcome::Success | AttemptOutcome::ServerError | AttemptOutcome::Overloaded
        );
        let reported_load = (answered && self.random.bool()).then_some(f64::from(in_flight));
        let closed = outcome == AttemptOutcome::Success || self.random.u8(0..10) == 0;
        let AttemptKey { gateway, request: id, attempt } = key;
        self.handle(gateway, Event::AttemptFinished { id, attempt, outcome, closed, reported_load });
    }

    /// Runs for the whole span, with few requests and many by turns.
    fn run(mut self) -> SimulationResult {
        let mut next = NextSteps {
            request: STARTED_AT,
            endpoint_change: STARTED_AT + S,
            health_change: STARTED_AT + 2 * S,
        };
        while self.now < STARTED_AT + SPAN {
            self.step(&mut next);
        }
        SimulationResult { digest: self.digest.finish(), occurred: self.occurred }
    }

    /// What comes first: something scheduled, a request, or a change of endpoints or of health.
    fn step(&mut self, next: &mut NextSteps) {
        let scheduled = self.schedule.keys().next().map_or(Micros::MAX, |key| key.at);
        let first = scheduled.min(next.request).min(next.endpoint_change).min(next.health_change);
        self.now = self.now.max(first);
        if first == scheduled {
            if let Some((_, scheduled)) = self.schedule.pop_first() {
                self.carry_out_scheduled(scheduled);
            }
        } else if first == next.request {
            self.receive_request();
            let is_calm = (self.now / (5 * S)).is_multiple_of(2);
            let mean_interval = if is_calm { 12 * MS } else { 3 * MS };
            next.request = self.now + self.random.u64(0..2 * mean_interval);
        } else if first == next.endpoint_change {
            self.change_endpoints();
            next.endpoint_change = self.now + self.random.u64(0..800 * MS);
        } else {
            self.change_health();
            next.health_change = self.now + self.random.u64(0..3 * S);
        }
    }
}

struct SimulationResult {
    digest: u64,
    occurred: BTreeSet<String>,
}

/// The name of a variant, without its fields.
fn name_of(value: &impl fmt::Debug) -> String {
    let text = format!("{value:?}");
    text.split([' ', '(']).next().unwrap_or_default().to_owned()
}

/// Every event, action and outcome, but `WatchEndpoints`: these endpoints are pushed.
const EXPECTED_TO_OCCUR: [&str; 24] = [
    "EndpointsUpdated",
    "WatchFailed",
    "RequestReceived",
    "StreamStarted",
    "AttemptFinished",
    "ClientDisconnected",
    "TimerFired",
    "PeerMessage",
    "SendAttempt",
    "Reject",
    "Fail",
    "CancelAttempt",
    "Broadcast",
    "SendToPeer",
    "SetTimer",
    "Warn",
    "Success",
    "ServerError",
    "Overloaded",
    "TimedOut",
    "Unreachable",
    "ConnectionLost",
    "Cancelled",
    "NotSent",
];

#[test]
fn the_same_events_give_the_same_actions_as_the_version_that_was_recorded() {
    let mut digests = Vec::new();
    let mut occurred = BTreeSet::new();
    for FleetSize { gateways, servers } in FLEETS {
        for seed in SEEDS {
            let result = Simulation::new(gateways, servers, seed).run();
            digests.push(digest(gateways, servers, seed, result.digest));
            occurred.extend(result.occurred);
        }
    }
    let missing: Vec<_> = EXPECTED_TO_OCCUR.iter().filter(|name| !occurred.contains(**name)).collect();
    assert!(missing.is_empty(), "the log holds none of {missing:?}");
    let lines: Vec<_> = digests.iter().map(RecordedDigest::to_string).collect();
    assert!(
        digests == RECORDED,
        "the actions differ; now they are
{}",
        lines.join("\n")
    );
}
