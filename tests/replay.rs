//! One seeded log of events, replayed through the module: the actions that come out are hashed, and compared with the
//! digests of a version whose decisions are to be kept. What is hashed are the values of an action alone, in an encoding
//! written out by hand: no name of a type, a variant or a field is in it, so that a renaming changes no digest.
//!
//! To record the digests anew, where decisions are changed on purpose: run `cargo test --test replay` on the new
//! version, put the lines of its message in place of [`RECORDED`], name the commit that gave them, and say in the
//! message of the commit what changed.

mod common;

use common::*;
use edge_node::Gateway;
use edge_node::*;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// Writes one action of a gateway into a digest: its number by kind, then its values in a fixed order, each text and
/// list of bytes behind its length.
fn write_action(digest: &mut fnv::FnvHasher, gateway: usize, action: &Action) {
    digest.write(&(gateway as u64).to_le_bytes());
    match action {
        Action::SendAttempt { id, server, timeout } => {
            digest.write(&[0]);
            write_bytes(digest, id.0.as_bytes());
            digest.write(&server.0.to_le_bytes());
            write_optional(digest, *timeout);
        }
        Action::Reject { id, retry_after } => {
            digest.write(&[1]);
            write_bytes(digest, id.0.as_bytes());
            write_optional(digest, *retry_after);
        }
        Action::Fail { id } => {
            digest.write(&[2]);
            write_bytes(digest, id.0.as_bytes());
        }
        Action::CancelAttempt { id, attempt } => {
            digest.write(&[3]);
            write_bytes(digest, id.0.as_bytes());
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

fn write_bytes(digest: &mut fnv::FnvHasher, bytes: &[u8]) {
    digest.write(&(bytes.len() as u64).to_le_bytes());
    digest.write(bytes);
}

fn write_optional(digest: &mut fnv::FnvHasher, value: Option<u64>) {
    digest.write(&[u8::from(value.is_some())]);
    digest.write(&value.unwrap_or_default().to_le_bytes());
}

/// The numbers in a warning: its words are for people and may be reworded, what it measures may not change.
fn write_numbers(digest: &mut fnv::FnvHasher, text: &str) {
    let numbers = text.split(|letter: char| !letter.is_ascii_digit() && letter != '.');
    for number in numbers.filter(|number| number.contains(|letter: char| letter.is_ascii_digit())) {
        write_bytes(digest, number.trim_matches('.').as_bytes());
    }
}

/// Digests by gateways, servers and seed, of the values alone, recorded on e73c6e6: there the digests of the `Debug` text
/// that stood here before still held.
const RECORDED: &[(u32, u64, u64, u64)] = &[
    (3, 14, 1, 0x9bf59f11578f08d0),
    (3, 14, 2, 0x991729a2125d515a),
    (3, 60, 1, 0x65c3b3e32ac738c0),
    (3, 60, 2, 0x363e64363ee82d17),
    (3, 200, 1, 0xce0f2a757d6f8a7b),
    (3, 200, 2, 0x2b3c4e7eb2c54060),
    (30, 200, 1, 0x964eb82532babbff),
    (30, 200, 2, 0xa6b611fcdb891ef3),
    (300, 14, 1, 0x9f57ad392c9f67ec),
    (300, 14, 2, 0xecb5831cfa794157),
    (300, 60, 1, 0x565633456e888c9f),
    (300, 60, 2, 0xcae52c683d6fd9f1),
    (300, 200, 1, 0xf51601c065ccf30b),
    (300, 200, 2, 0x0ce8e5e2a6414f7a),
];

const SPAN: Micros = 30 * S;
/// Gateways of a fleet that take part; messages to the others are lost.
const PLAYED: u32 = 3;

/// How a server of the farm fares.
#[derive(Clone, Copy, PartialEq)]
enum Mood {
    Well,
    Slow,
    Failing,
    Dark,
    Hung,
}

struct Machine {
    entry: Endpoint,
    mood: Mood,
    open: u32,
}

/// What lies ahead, besides events for a gateway.
enum Due {
    Event(usize, Event),
    Ended(usize, RequestId, AttemptNumber, ServerId, AttemptOutcome),
}

struct Farm {
    now: Micros,
    random: Rng,
    gateways: Vec<Gateway>,
    wide: bool,
    machines: BTreeMap<ServerId, Machine>,
    due: BTreeMap<(Micros, u64), Due>,
    serial: u64,
    attempts: BTreeMap<(usize, RequestId), u32>,
    out: BTreeMap<(usize, RequestId, AttemptNumber), (Micros, u64)>,
    digest: fnv::FnvHasher,
    /// Names of all that occurred.
    met: BTreeSet<String>,
}

impl Farm {
    fn new(gateways: u32, servers: u64, seed: u64) -> Farm {
        let gateway = |me: u32| {
            let mut settings = settings(me, gateways);
            settings.plans[0] = Plan { rate: 20.0, burst: 30.0, ..settings.plans[0].clone() };
            settings.zone = ZoneId(me % 2);
            settings.cross_zone_cost = 0.02;
            Gateway::new(seed + u64::from(me), settings, S).expect("sound settings")
        };
        let mut farm = Farm {
            now: S,
            random: Rng::with_seed(seed),
            gateways: (0..PLAYED.min(gateways)).map(gateway).collect(),
            wide: gateways > 20,
            machines: BTreeMap::new(),
            due: BTreeMap::new(),
            serial: 0,
            attempts: BTreeMap::new(),
            out: BTreeMap::new(),
            digest: fnv::FnvHasher::default(),
            met: BTreeSet::new(),
        };
        for number in 0..servers {
            let size = 1.0 + (number % 3) as f64;
            let entry = Endpoint { weight: size, ..entry(number * 7919 + seed) };
            farm.machines.insert(entry.server, Machine { entry, mood: Mood::Well, open: 0 });
        }
        farm.tell_list(EndpointUpdate::Snapshot, None);
        farm
    }

    fn plan(&mut self, after: Micros, due: Due) -> (Micros, u64) {
        self.serial += 1;
        let key = (self.now + after, self.serial);
        self.due.insert(key, due);
        key
    }

    fn tell_list(&mut self, kind: EndpointUpdate, entries: Option<Vec<Endpoint>>) {
        let all = || self.machines.values().map(|machine| machine.entry).collect();
        let entries: Vec<Endpoint> = entries.unwrap_or_else(all);
        for gateway in 0..self.gateways.len() {
            // In order: a change that comes after a later whole list would list more servers than there are.
            let after = 15 * MS * gateway as u64;
            self.plan(
                after,
                Due::Event(gateway, Event::EndpointsUpdated { kind, endpoints: entries.clone() }),
            );
        }
    }

    fn some_server(&mut self) -> Option<ServerId> {
        let place = self.random.usize(0..self.machines.len().max(1));
        self.machines.keys().nth(place).copied()
    }

    /// Servers drain, go, start anew, are replaced; or the whole list is told again, without one.
    fn change_list(&mut self) {
        let mut changes = Vec::new();
        for _ in 0..self.random.usize(1..5) {
            let Some(server) = self.some_server() else { continue };
            let Some(machine) = self.machines.get_mut(&server) else { continue };
            match self.random.u8(0..10) {
                0..=1 => machine.entry.state = EndpointState::Draining,
                2..=5 => {
                    machine.entry.state = EndpointState::Ready;
                    machine.entry.started_at = Some(self.now);
                    machine.mood = Mood::Well;
                }
                6..=8 => {
                    let (gone, fresh) = (machine.entry, ServerId(server.0 + 1_000_003));
                    self.machines.remove(&server);
                    changes.push(Endpoint { state: EndpointState::Gone, ..gone });
                    let entry = Endpoint { server: fresh, started_at: Some(self.now), ..gone };
                    let entry = Endpoint { state: EndpointState::Ready, ..entry };
                    self.machines.insert(fresh, Machine { entry, mood: Mood::Well, open: 0 });
                    changes.push(entry);
                    continue;
                }
                _ => machine.entry.state = EndpointState::Ready,
            }
            changes.push(machine.entry);
        }
        match self.random.u8(0..8) {
            0 => self.tell_list(EndpointUpdate::Snapshot, None),
            1 => {
                let left_out = self.some_server();
                let kept = self.machines.values().map(|machine| machine.entry);
                let kept = kept.filter(|entry| Some(entry.server) != left_out).collect();
                self.tell_list(EndpointUpdate::Snapshot, Some(kept));
            }
            _ => self.tell_list(EndpointUpdate::Delta, Some(changes)),
        }
    }

    fn change_mood(&mut self) {
        let mood = match self.random.u8(0..8) {
            0 => Mood::Slow,
            1 => Mood::Failing,
            2 => Mood::Dark,
            3 => Mood::Hung,
            _ => Mood::Well,
        };
        for _ in 0..1 + self.machines.len() / 14 {
            let Some(server) = self.some_server() else { continue };
            self.machines.get_mut(&server).into_iter().for_each(|machine| machine.mood = mood);
        }
    }

    fn request(&mut self, number: u64) {
        let gateway = self.random.usize(0..self.gateways.len());
        let customer = self.random.u64(0..40);
        let spread = if self.wide && customer < 30 { PLAYED } else { self.gateways.len() as u32 };
        let spread = if self.wide && customer >= 36 { 300 } else { spread };
        let id = RequestId(format!("r{number}").into());
        let event = Event::RequestReceived {
            id: id.clone(),
            class: ClassId(self.random.usize(0..4)),
            plan: PlanId((customer % 4) as usize),
            customer: CustomerId(customer),
            units: 0.25 + self.random.f64() / 2.0,
            gateways: GatewaySet { first: GatewayId(0), count: spread },
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
        let name = |text: String| text.split([' ', '(']).next().unwrap_or_default().to_owned();
        self.met.insert(name(format!("{event:?}")));
        let mut actions = Vec::new();
        self.gateways[gateway].handle(self.now, event, &mut actions);
        for action in actions {
            write_action(&mut self.digest, gateway, &action);
            self.met.insert(name(format!("{action:?}")));
            self.act(gateway, action);
        }
    }

    fn act(&mut self, gateway: usize, action: Action) {
        match action {
            Action::SendAttempt { id, server, .. } => {
                let count = self.attempts.entry((gateway, id.clone())).or_default();
                let attempt = AttemptNumber(*count);
                *count += 1;
                let (took, outcome) = self.served(server);
                let due = Due::Ended(gateway, id.clone(), attempt, server, outcome);
                let key = self.plan(took, due);
                self.out.insert((gateway, id, attempt), key);
            }
            Action::CancelAttempt { id, attempt } => {
                let Some(key) = self.out.remove(&(gateway, id.clone(), attempt)) else { return };
                let Some(Due::Ended(_, _, _, server, _)) = self.due.remove(&key) else { return };
                let due = Due::Ended(gateway, id.clone(), attempt, server, AttemptOutcome::Cancelled);
                let key = self.plan(MS, due);
                self.out.insert((gateway, id, attempt), key);
            }
            Action::Broadcast { bytes } => {
                for to in (0..self.gateways.len()).filter(|to| *to != gateway) {
                    self.tell(gateway, to, bytes.clone());
                }
            }
            Action::SendToPeer { to, bytes } => self.tell(gateway, to.0 as usize, bytes),
            Action::SetTimer { after, token } => {
                let late = if self.random.u8(0..200) == 0 { 80 * MS } else { 0 };
                self.plan(after + late, Due::Event(gateway, Event::TimerFired { token }));
            }
            Action::Reject { .. } | Action::Fail { .. } | Action::WatchEndpoints | Action::Warn(_) => {}
        }
    }

    fn tell(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let lost = self.random.u8(0..20) == 0 || to >= self.gateways.len();
        let after = self.random.u64(MS..25 * MS);
        if !lost {
            let event = Event::PeerMessage { from: GatewayId(from as u32), bytes };
            self.plan(after, Due::Event(to, event));
        }
    }

    /// How long an attempt takes at a server, and how it ends.
    fn served(&mut self, server: ServerId) -> (Micros, AttemptOutcome) {
        let Some(machine) = self.machines.get_mut(&server) else { return (MS, AttemptOutcome::Unreachable) };
        machine.open += 1;
        let queue = f64::from(machine.open) / machine.entry.weight;
        let took = (20e3 * (0.5 + self.random.f64()) * queue.max(1.0)) as Micros;
        let draw = self.random.u8(0..100);
        match machine.mood {
            _ if draw == 0 => (took, AttemptOutcome::ConnectionLost),
            _ if draw == 1 => (MS, AttemptOutcome::NotSent),
            Mood::Well if draw == 2 => (took, AttemptOutcome::ServerError),
            Mood::Well => (took, AttemptOutcome::Success),
            Mood::Slow => {
                (8 * took, if draw < 30 { AttemptOutcome::TimedOut } else { AttemptOutcome::Success })
            }
            Mood::Failing if draw < 40 => (took, AttemptOutcome::ServerError),
            Mood::Failing if draw < 60 => (MS, AttemptOutcome::Overloaded),
            Mood::Failing if draw < 70 => (took, AttemptOutcome::ConnectionLost),
            Mood::Failing => (took, AttemptOutcome::Success),
            Mood::Dark => (MS, AttemptOutcome::Unreachable),
            Mood::Hung => (4 * S, AttemptOutcome::TimedOut),
        }
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Event(gateway, event) => self.handle(gateway, event),
            Due::Ended(gateway, id, attempt, server, outcome) => {
                self.met.insert(format!("{outcome:?}"));
                self.out.remove(&(gateway, id.clone(), attempt));
                let machine = self.machines.get_mut(&server);
                let held = machine.map_or(0, |machine| {
                    machine.open = machine.open.saturating_sub(1);
                    machine.open
                });
                let answered = matches!(
                    outcome,
                    AttemptOutcome::Success | AttemptOutcome::ServerError | AttemptOutcome::Overloaded
                );
                let load = (answered && self.random.bool()).then_some(f64::from(held));
                let closed = outcome == AttemptOutcome::Success || self.random.u8(0..10) == 0;
                self.handle(
                    gateway,
                    Event::AttemptFinished { id, attempt, outcome, closed, reported_load: load },
                );
            }
        }
    }

    /// Plays the whole span; calm and crowded by turns.
    fn play(mut self) -> (u64, BTreeSet<String>) {
        let (mut next_request, mut next_change, mut next_mood) = (S, 2 * S, 3 * S);
        let mut number = 0;
        while self.now < S + SPAN {
            let first = self.due.keys().next().map_or(Micros::MAX, |key| key.0);
            let next = first.min(next_request).min(next_change).min(next_mood);
            self.now = self.now.max(next);
            if next == first {
                let taken = self.due.pop_first();
                taken.into_iter().for_each(|(_, due)| self.due(due));
            } else if next == next_request {
                number += 1;
                self.request(number);
                let mean = if (self.now / (5 * S)).is_multiple_of(2) { 12 * MS } else { 3 * MS };
                next_request = self.now + self.random.u64(0..2 * mean);
            } else if next == next_change {
                self.change_list();
                next_change = self.now + self.random.u64(0..800 * MS);
            } else {
                self.change_mood();
                next_mood = self.now + self.random.u64(0..3 * S);
            }
        }
        (self.digest.finish(), self.met)
    }
}

#[test]
fn the_same_events_give_the_same_actions_as_the_version_that_was_recorded() {
    let fleets = [(3, 14), (3, 60), (3, 200), (30, 200), (300, 14), (300, 60), (300, 200)];
    let (mut played, mut met) = (Vec::new(), BTreeSet::new());
    for (gateways, servers) in fleets {
        for seed in [1, 2] {
            let (digest, names) = Farm::new(gateways, servers, seed).play();
            played.push((gateways, servers, seed, digest));
            met.extend(names);
        }
    }
    let all = "EndpointsUpdated WatchFailed RequestReceived StreamStarted AttemptFinished ClientDisconnected TimerFired \
               PeerMessage SendAttempt Reject Fail CancelAttempt Broadcast SendToPeer SetTimer Warn \
               Success ServerError Overloaded TimedOut Unreachable ConnectionLost Cancelled NotSent";
    let missing: Vec<_> = all.split_whitespace().filter(|name| !met.contains(*name)).collect();
    assert!(missing.is_empty(), "the log holds none of {missing:?}");
    let lines = |digests: &[(u32, u64, u64, u64)]| {
        let line = |digest: &(u32, u64, u64, u64)| {
            format!("    ({}, {}, {}, {:#018x}),", digest.0, digest.1, digest.2, digest.3)
        };
        digests.iter().map(line).collect::<Vec<_>>().join("\n")
    };
    assert!(played == RECORDED, "the actions differ; now they are\n{}", lines(&played));
}
