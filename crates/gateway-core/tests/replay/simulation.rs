//! A simulated fleet. All events are drawn from one seed: requests, failures of servers, changes of
//! the endpoint list, and lost or delayed messages.

use crate::action_digest::write_action;
use crate::common::*;
use crate::simulated_server::{ServedAttempt, ServerHealth, SimulatedServer};
use fastrand::Rng;
use fnv::FnvHasher;
use gateway_core::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::Hasher;
use std::time::Duration;

const STARTED_AT: Micros = SECOND;
const SIMULATED_TIME: Micros = 30 * SECOND;
/// Maximum number of gateways of a fleet that are simulated. Messages to other gateways are lost.
const SIMULATED_GATEWAYS: u32 = 3;
/// Fleets with more gateways than this are large: they share quotas by leases.
const MAX_SMALL_FLEET: u32 = 20;

/// Identifies an attempt in flight.
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

/// A scheduled event of the simulation.
enum Scheduled {
    GatewayEvent { gateway: usize, event: Event },
    AttemptFinished(FinishedAttempt),
}

/// Sort key of scheduled events. Events of the same time are executed in the order in which they
/// were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduleKey {
    at: Micros,
    sequence: u64,
}

/// Times of the next request and of the next random changes.
struct NextSteps {
    request: Micros,
    endpoint_change: Micros,
    health_change: Micros,
}

/// Gateways, servers and the network, with one clock and one random number generator.
pub(crate) struct Simulation {
    now: Micros,
    random: Rng,
    gateways: Vec<Gateway>,
    is_large_fleet: bool,
    servers: BTreeMap<ServerId, SimulatedServer>,
    schedule: BTreeMap<ScheduleKey, Scheduled>,
    last_sequence: u64,
    requests: u64,
    /// Number of attempts that a gateway, given by its index, has sent for a request.
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
    Gateway::new(
        seed + u64::from(number),
        settings,
        Timestamp::from_micros(STARTED_AT),
    )
    .expect("valid settings")
}

impl Simulation {
    pub(crate) fn new(gateways: u32, servers: u64, seed: u64) -> Simulation {
        let simulated = 0..SIMULATED_GATEWAYS.min(gateways);
        let server = |number| {
            let weight = 1.0 + (number % 3) as f64;
            let endpoint = Endpoint {
                weight,
                ..ready_endpoint(number * 7919 + seed)
            };
            (endpoint.server, SimulatedServer::healthy(endpoint))
        };
        let mut simulation = Simulation {
            now: STARTED_AT,
            random: Rng::with_seed(seed),
            gateways: simulated
                .map(|number| simulated_gateway(number, gateways, seed))
                .collect(),
            is_large_fleet: gateways > MAX_SMALL_FLEET,
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
        let key = ScheduleKey {
            at: self.now + after,
            sequence: self.last_sequence,
        };
        self.schedule.insert(key, scheduled);
        key
    }

    fn schedule_event(&mut self, after: Micros, gateway: usize, event: Event) {
        self.schedule(after, Scheduled::GatewayEvent { gateway, event });
    }

    fn send_snapshot(&mut self) {
        let endpoints = self
            .servers
            .values()
            .map(|server| server.endpoint)
            .collect();
        self.send_endpoints(EndpointUpdate::Snapshot, endpoints);
    }

    fn send_endpoints(&mut self, kind: EndpointUpdate, endpoints: Vec<Endpoint>) {
        for gateway in 0..self.gateways.len() {
            // The delay of a gateway is constant, so that updates arrive in order: a delta that
            // arrives after a later snapshot would add servers that no longer exist.
            let after = 15 * MILLISECOND * gateway as u64;
            let event = Event::EndpointsUpdated {
                kind,
                endpoints: endpoints.clone(),
            };
            self.schedule_event(after, gateway, event);
        }
    }

    fn random_server(&mut self) -> Option<ServerId> {
        let index = self.random.usize(0..self.servers.len().max(1));
        self.servers.keys().nth(index).copied()
    }

    /// Drains, restarts, replaces or makes ready some random servers. Then sends a delta, a
    /// snapshot, or a snapshot in which one server is missing.
    fn change_endpoints(&mut self) {
        let mut changed = Vec::new();
        for _ in 0..self.random.usize(1..5) {
            let Some(server) = self.random_server() else {
                continue;
            };
            changed.extend(self.change_server(server));
        }
        match self.random.u8(0..8) {
            0 => self.send_snapshot(),
            1 => self.send_snapshot_without_one_server(),
            _ => self.send_endpoints(EndpointUpdate::Delta, changed),
        }
    }

    fn send_snapshot_without_one_server(&mut self) {
        let left_out = self.random_server();
        let endpoints = self.servers.values().map(|server| server.endpoint);
        let kept = endpoints
            .filter(|endpoint| Some(endpoint.server) != left_out)
            .collect();
        self.send_endpoints(EndpointUpdate::Snapshot, kept);
    }

    /// Changes one server, and returns the changed endpoints.
    fn change_server(&mut self, id: ServerId) -> Vec<Endpoint> {
        let Some(server) = self.servers.get_mut(&id) else {
            return Vec::new();
        };
        match self.random.u8(0..10) {
            0..=1 => server.endpoint.state = EndpointState::Draining,
            2..=5 => {
                server.endpoint.state = EndpointState::Ready;
                server.endpoint.started_at = Some(Timestamp::from_micros(self.now));
                server.health = ServerHealth::Healthy;
            }
            6..=8 => return self.replace_server(id).into(),
            _ => server.endpoint.state = EndpointState::Ready,
        }
        vec![server.endpoint]
    }

    /// Removes a server, and starts another server in its place.
    fn replace_server(&mut self, id: ServerId) -> [Endpoint; 2] {
        let removed = self
            .servers
            .remove(&id)
            .expect("an existing server")
            .endpoint;
        let gone = Endpoint {
            state: EndpointState::Gone,
            ..removed
        };
        let replacement = Endpoint {
            server: ServerId(id.0 + 1_000_003),
            started_at: Some(Timestamp::from_micros(self.now)),
            state: EndpointState::Ready,
            ..removed
        };
        self.servers
            .insert(replacement.server, SimulatedServer::healthy(replacement));
        [gone, replacement]
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
            let Some(id) = self.random_server() else {
                continue;
            };
            if let Some(server) = self.servers.get_mut(&id) {
                server.health = health;
            }
        }
    }

    /// Returns the number of gateways that receive a customer's requests.
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
            units: Units::new(0.25 + self.random.f64() / 2.0),
            gateways: GatewaySet {
                first: GatewayId(0),
                count: self.gateways_of(customer),
            },
            client_timeout: Duration::from_micros(self.random.u64(200 * MILLISECOND..3 * SECOND)),
        };
        self.handle(gateway, event);
        match self.random.u8(0..60) {
            0 => self.handle(gateway, Event::ClientDisconnected { id }),
            1 => self.handle(gateway, Event::StreamStarted { id }),
            2 => self.handle(gateway, Event::WatchFailed),
            3 => self.handle(
                gateway,
                Event::PeerMessage {
                    from: GatewayId(1),
                    bytes: vec![3, 2, 9],
                },
            ),
            _ => {}
        }
    }

    fn handle(&mut self, gateway: usize, event: Event) {
        self.occurred.insert(variant_name(&event));
        let mut actions = Vec::new();
        self.gateways[gateway].handle(Timestamp::from_micros(self.now), event, &mut actions);
        for action in actions {
            write_action(&mut self.digest, gateway, &action);
            self.occurred.insert(variant_name(&action));
            self.carry_out(gateway, action);
        }
    }

    fn carry_out(&mut self, gateway: usize, action: Action) {
        match action {
            Action::SendAttempt { id, server, .. } => self.send_attempt(gateway, id, server),
            Action::CancelAttempt { id, attempt } => {
                self.cancel_attempt(AttemptKey {
                    gateway,
                    request: id,
                    attempt,
                });
            }
            Action::Broadcast { bytes } => {
                for to in (0..self.gateways.len()).filter(|to| *to != gateway) {
                    self.send_message(gateway, to, bytes.clone());
                }
            }
            Action::SendToPeer { to, bytes } => self.send_message(gateway, to.0 as usize, bytes),
            Action::SetTimer { after, token } => {
                let delay = if self.random.u8(0..200) == 0 {
                    80 * MILLISECOND
                } else {
                    0
                };
                self.schedule_event(
                    after.as_micros() as Micros + delay,
                    gateway,
                    Event::TimerFired { token },
                );
            }
            Action::Reject { .. }
            | Action::Fail { .. }
            | Action::WatchEndpoints
            | Action::Warn(_) => {}
        }
    }

    fn send_attempt(&mut self, gateway: usize, request: RequestId, server: ServerId) {
        let sent = self
            .attempts_sent
            .entry((gateway, request.clone()))
            .or_default();
        let key = AttemptKey {
            gateway,
            request,
            attempt: AttemptNumber(*sent),
        };
        *sent += 1;
        let ServedAttempt { latency, outcome } = self.serve(server);
        self.finish_after(
            latency,
            FinishedAttempt {
                key,
                server,
                outcome,
            },
        );
    }

    fn cancel_attempt(&mut self, key: AttemptKey) {
        let Some(scheduled) = self.in_flight.remove(&key) else {
            return;
        };
        let Some(Scheduled::AttemptFinished(attempt)) = self.schedule.remove(&scheduled) else {
            return;
        };
        let cancelled = FinishedAttempt {
            outcome: AttemptOutcome::Cancelled,
            ..attempt
        };
        self.finish_after(MILLISECOND, cancelled);
    }

    fn finish_after(&mut self, after: Micros, attempt: FinishedAttempt) {
        let key = attempt.key.clone();
        let scheduled = self.schedule(after, Scheduled::AttemptFinished(attempt));
        self.in_flight.insert(key, scheduled);
    }

    fn send_message(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let is_lost = self.random.u8(0..20) == 0 || to >= self.gateways.len();
        let after = self.random.u64(MILLISECOND..25 * MILLISECOND);
        if !is_lost {
            let event = Event::PeerMessage {
                from: GatewayId(from as u32),
                bytes,
            };
            self.schedule_event(after, to, event);
        }
    }

    fn serve(&mut self, server: ServerId) -> ServedAttempt {
        match self.servers.get_mut(&server) {
            Some(server) => server.serve(&mut self.random),
            None => ServedAttempt {
                latency: MILLISECOND,
                outcome: AttemptOutcome::Unreachable,
            },
        }
    }

    fn execute_scheduled(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::GatewayEvent { gateway, event } => self.handle(gateway, event),
            Scheduled::AttemptFinished(attempt) => self.finish_attempt(attempt),
        }
    }

    fn finish_attempt(
        &mut self,
        FinishedAttempt {
            key,
            server,
            outcome,
        }: FinishedAttempt,
    ) {
        self.occurred.insert(variant_name(&outcome));
        self.in_flight.remove(&key);
        let in_flight = self.servers.get_mut(&server).map_or(0, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.in_flight
        });
        let is_answered = matches!(
            outcome,
            AttemptOutcome::Success | AttemptOutcome::ServerError | AttemptOutcome::Overloaded
        );
        let reported_load = (is_answered && self.random.bool()).then_some(f64::from(in_flight));
        let closed = outcome == AttemptOutcome::Success || self.random.u8(0..10) == 0;
        let AttemptKey {
            gateway,
            request: id,
            attempt,
        } = key;
        self.handle(
            gateway,
            Event::AttemptFinished {
                id,
                attempt,
                outcome,
                closed,
                reported_load,
            },
        );
    }

    /// Runs the simulation, which alternates between low and high request rates every 5 s.
    pub(crate) fn run(mut self) -> SimulationResult {
        let mut next = NextSteps {
            request: STARTED_AT,
            endpoint_change: STARTED_AT + SECOND,
            health_change: STARTED_AT + 2 * SECOND,
        };
        while self.now < STARTED_AT + SIMULATED_TIME {
            self.step(&mut next);
        }
        SimulationResult {
            digest: self.digest.finish(),
            occurred: self.occurred,
        }
    }

    /// Executes whichever is due first: a scheduled event, a request, or a change of endpoints or
    /// of the health of servers.
    fn step(&mut self, next: &mut NextSteps) {
        let scheduled = self
            .schedule
            .keys()
            .next()
            .map_or(Micros::MAX, |key| key.at);
        let first = scheduled
            .min(next.request)
            .min(next.endpoint_change)
            .min(next.health_change);
        self.now = self.now.max(first);
        if first == scheduled {
            if let Some((_, scheduled)) = self.schedule.pop_first() {
                self.execute_scheduled(scheduled);
            }
        } else if first == next.request {
            self.receive_request();
            let is_low_rate = (self.now / (5 * SECOND)).is_multiple_of(2);
            let mean_interval = if is_low_rate {
                12 * MILLISECOND
            } else {
                3 * MILLISECOND
            };
            next.request = self.now + self.random.u64(0..2 * mean_interval);
        } else if first == next.endpoint_change {
            self.change_endpoints();
            next.endpoint_change = self.now + self.random.u64(0..800 * MILLISECOND);
        } else {
            self.change_health();
            next.health_change = self.now + self.random.u64(0..3 * SECOND);
        }
    }
}

/// Digest of all actions, and names of all events, actions and outcomes that occurred.
pub(crate) struct SimulationResult {
    pub(crate) digest: u64,
    pub(crate) occurred: BTreeSet<String>,
}

/// Returns the name of an enum variant, without its fields.
fn variant_name(value: &impl fmt::Debug) -> String {
    let text = format!("{value:?}");
    text.split([' ', '(']).next().unwrap_or_default().to_owned()
}
