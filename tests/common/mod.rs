//! A small stand for the module: settings, and a keeper of the rules that knows nothing of its insides.
#![allow(dead_code)]

pub mod fleet;

use edge_node::Gateway;
use edge_node::*;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub const SAFE: ClassId = ClassId(0);
pub const KEYED: ClassId = ClassId(1);
pub const UNSAFE: ClassId = ClassId(2);
pub const KEYED_ALL: ClassId = ClassId(3);

pub fn settings(me: u32, gateways: u32) -> Settings {
    let class = |worth, effect| Class {
        latency_objective: 800 * MS,
        late_weight: 0.2,
        priority_weight: worth,
        idempotency: effect,
    };
    let keyed = |group| Idempotency::Keyed { scope: group, window: 500 * MS };
    let plan = Plan {
        rate: 1.0,
        burst: 4.0,
        max_concurrent: None,
        weight: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 0.5,
        hard_limit: None,
    };
    let ceiling = Some(HardLimit { rate: 8.0, capacity: 12.0 });
    Settings {
        gateway_id: GatewayId(me),
        gateway_count: gateways,
        zone: ZoneId(0),
        classes: vec![
            class(1.0, Idempotency::Idempotent),
            class(2.0, keyed(DeduplicationScope::Cell)),
            class(9.0, Idempotency::NonIdempotent),
            class(3.0, keyed(DeduplicationScope::AllServers)),
        ],
        plans: vec![
            plan.clone(),
            Plan { rate: 0.0, ..plan.clone() },
            Plan { rate: 1000.0, burst: 1000.0, hard_limit: ceiling, ..plan.clone() },
            Plan { rate: 1000.0, burst: 1000.0, max_concurrent: Some(2), ..plan },
        ],
        rules: Rules {
            warm_up_from: 0.2,
            warm_up_period: 10 * S,
            overload_multiple: 3.0,
            overload_window: S,
        },
        permissions: Permissions {
            max_attempts: 3,
            cancel_attempts: true,
            peer_messages: true,
            max_retry_after: Some(10 * S),
        },
        cross_zone_cost: 0.0,
        discovery: EndpointDiscovery::Pushed,
        event_period: 2 * MS,
        peer_messages_per_second: 60.0,
        max_request_units: 1.0,
    }
}

pub fn entry(server: u64) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: ZoneId((server % 2) as u32),
        cell: CellId(server % 2),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    }
}

#[derive(Default)]
struct Told {
    class: usize,
    deadline: Micros,
    open: bool,
    sent: u32,
    out: bool,
    /// The cell of the server it was last sent to.
    cell: CellId,
    ran: Option<(CellId, Micros)>,
}

/// One gateway with its own watch on rules 1 to 3.
pub struct Stand {
    pub now: Micros,
    pub gateway: Gateway,
    pub settings: Settings,
    pub wakes: Vec<(Micros, u64)>,
    pub list: BTreeMap<ServerId, Endpoint>,
    pub out: Vec<(RequestId, AttemptNumber, ServerId)>,
    told: BTreeMap<RequestId, Told>,
    pub log: Vec<Action>,
    /// The gateways a customer's tries come through: the first, and how many.
    pub first: GatewayId,
    pub spread: u32,
    /// How many requests the servers say they hold, by server.
    pub loads: BTreeMap<ServerId, f64>,
    next: u64,
}

impl Stand {
    pub fn new(seed: u64, settings: Settings, now: Micros) -> Self {
        let gateway = Gateway::new(seed, settings.clone(), now).expect("sound settings");
        Stand {
            now,
            gateway,
            first: GatewayId(0),
            spread: settings.gateway_count,
            loads: BTreeMap::new(),
            settings,
            wakes: Vec::new(),
            list: BTreeMap::new(),
            out: Vec::new(),
            told: BTreeMap::new(),
            log: Vec::new(),
            next: 0,
        }
    }

    pub fn with_servers(seed: u64, settings: Settings, now: Micros, servers: u64) -> Self {
        let mut stand = Stand::new(seed, settings, now);
        stand.servers(EndpointUpdate::Snapshot, (0..servers).map(entry).collect());
        stand
    }

    pub fn servers(&mut self, kind: EndpointUpdate, entries: Vec<Endpoint>) {
        if kind == EndpointUpdate::Snapshot {
            self.list.clear();
        }
        for entry in &entries {
            self.list.insert(entry.server, *entry);
        }
        self.event(Event::EndpointsUpdated { kind, endpoints: entries });
    }

    pub fn request(&mut self, class: ClassId, plan: usize, customer: u64, patience: Micros) -> RequestId {
        self.next += 1;
        let id = RequestId(format!("r{}", self.next).into());
        let told = Told { class: class.0, deadline: self.now + patience, open: true, ..Told::default() };
        self.told.insert(id.clone(), told);
        self.event(Event::RequestReceived {
            id: id.clone(),
            class,
            plan: PlanId(plan),
            customer: CustomerId(customer),
            units: 1.0,
            gateways: GatewaySet { first: self.first, count: self.spread },
            client_timeout: patience,
        });
        id
    }

    pub fn end(&mut self, id: &RequestId, outcome: AttemptOutcome) -> Vec<Action> {
        let place = self.out.iter().position(|(out, _, _)| out == id).expect("an attempt is out");
        let (id, attempt, server) = self.out.remove(place);
        let told = self.told.get_mut(&id).expect("known");
        told.out = false;
        if !matches!(
            outcome,
            AttemptOutcome::Overloaded | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        ) {
            told.ran.get_or_insert((told.cell, self.now));
        }
        let closed = outcome == AttemptOutcome::Success || !told.open;
        if outcome == AttemptOutcome::Success {
            told.open = false;
        }
        let load = self.loads.get(&server).copied();
        self.event(Event::AttemptFinished { id, attempt, outcome, closed, reported_load: load })
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in &actions {
            self.watch(action);
        }
        self.log.extend(actions.iter().cloned());
        actions
    }

    /// Lets time pass in steps, with every wake-up that was asked for.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let (end, mut actions) = (self.now + span, Vec::new());
        while self.now < end {
            self.now += 2 * MS;
            let due: Vec<_> = self.wakes.iter().copied().filter(|(at, _)| *at <= self.now).collect();
            self.wakes.retain(|(at, _)| *at > self.now);
            for (_, token) in due {
                actions.extend(self.event(Event::TimerFired { token }));
            }
            for (id, told) in &self.told {
                assert!(!told.open || self.now <= told.deadline + 8 * MS, "rule 1: {id:?} had no answer");
            }
        }
        actions
    }

    fn watch(&mut self, action: &Action) {
        let effect = |told: &Told, settings: &Settings| settings.classes[told.class].idempotency;
        match action {
            Action::SendAttempt { id, server, .. } => {
                let told = self.told.get_mut(id).expect("rule: a known request");
                assert!(told.open, "rule 1: sent after its answer");
                assert!(!told.out, "rule 2: two attempts at once");
                assert!(told.sent < self.settings.permissions.max_attempts, "too many attempts");
                assert_eq!(
                    self.list[server].state,
                    EndpointState::Ready,
                    "rule 3: sent to a draining server"
                );
                match (told.ran, effect(told, &self.settings)) {
                    (None, _) | (_, Idempotency::Idempotent) => {}
                    (Some(_), Idempotency::NonIdempotent) => panic!("rule 2: unsafe sent again"),
                    (Some((cell, _)), Idempotency::Keyed { scope: group, .. }) => {
                        let same = cell == self.list[server].cell;
                        assert!(group == DeduplicationScope::AllServers || same, "rule 2: left its group");
                    }
                }
                self.out.push((id.clone(), AttemptNumber(told.sent), *server));
                (told.out, told.sent, told.cell) = (true, told.sent + 1, self.list[server].cell);
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let told = self.told.get_mut(id).expect("rule: a known request");
                assert!(told.open, "rule 1: a second answer");
                told.open = false;
                let refused = matches!(action, Action::Reject { .. });
                let maybe = told.ran.is_some() || told.out;
                let all = |effect| {
                    matches!(effect, Idempotency::Keyed { scope: DeduplicationScope::AllServers, .. })
                };
                let effect = effect(told, &self.settings);
                assert!(
                    !refused || !maybe || effect == Idempotency::Idempotent || all(effect),
                    "rule 2: refused"
                );
            }
            Action::SetTimer { after, token } => self.wakes.push((self.now + after, *token)),
            Action::Broadcast { bytes } | Action::SendToPeer { bytes, .. } => {
                assert!(bytes.len() <= 256, "message too long")
            }
            Action::CancelAttempt { .. } | Action::WatchEndpoints | Action::Warn(_) => {}
        }
    }

    pub fn abandon(&mut self, id: &RequestId) {
        self.told.get_mut(id).expect("known").open = false;
        self.event(Event::ClientDisconnected { id: id.clone() });
    }
}

pub fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::SendAttempt { .. })).count()
}
