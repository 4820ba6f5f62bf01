//! Two gateways of a large fleet that are each other's home, and the servers they send to.

use edge_node::Gateway;
use edge_node::*;
use std::collections::{BTreeMap, VecDeque};

const MS: Micros = 1_000;
const GATEWAYS: u32 = 4_200;

pub fn settings(me: u32) -> Settings {
    let class = |worth, aim| Class {
        latency_objective: aim,
        late_weight: 0.2,
        priority_weight: worth,
        idempotency: Idempotency::Idempotent,
    };
    let plan = Plan {
        rate: 0.0,
        burst: 9.0,
        max_concurrent: None,
        weight: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 0.5,
        hard_limit: None,
    };
    Settings {
        gateway_id: GatewayId(me),
        gateway_count: GATEWAYS,
        zone: ZoneId(0),
        classes: vec![class(1.0, 800 * MS), class(4.0, 400 * MS)],
        plans: vec![plan],
        rules: Rules {
            warm_up_from: 0.2,
            warm_up_period: 10_000 * MS,
            overload_multiple: 3.0,
            overload_window: 1_000 * MS,
        },
        permissions: Permissions {
            max_attempts: 3,
            cancel_attempts: true,
            peer_messages: true,
            max_retry_after: None,
        },
        cross_zone_cost: 0.0,
        discovery: EndpointDiscovery::Pushed,
        event_period: 2 * MS,
        peer_messages_per_second: 60.0,
        max_request_units: 1.0,
    }
}

pub fn entry(number: u64) -> Endpoint {
    Endpoint {
        server: ServerId(number * 0x1_0000_0001),
        zone: ZoneId((number % 4) as u32),
        cell: CellId(number / 20),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    }
}

/// Two gateways, whose messages reach each other at once; servers take 20 ms.
pub struct Pair {
    pub now: Micros,
    pub gateways: Vec<Gateway>,
    due: BTreeMap<(Micros, u64), (usize, Event)>,
    serial: u64,
    /// What was sent, by which gateway.
    pub sent: Vec<(usize, ServerId)>,
}

impl Pair {
    pub fn new(servers: u64) -> anyhow::Result<Pair> {
        let gateways: Result<_, _> =
            (0..2).map(|me| Gateway::new(9 + u64::from(me), settings(me), MS)).collect();
        let mut pair =
            Pair { now: MS, gateways: gateways?, due: BTreeMap::new(), serial: 0, sent: Vec::new() };
        for gateway in 0..2 {
            pair.handle(gateway, whole(servers));
        }
        Ok(pair)
    }

    pub fn handle(&mut self, gateway: usize, event: Event) {
        let mut events = VecDeque::from([(gateway, event)]);
        while let Some((gateway, event)) = events.pop_front() {
            let mut actions = Vec::new();
            self.gateways[gateway].handle(self.now, event, &mut actions);
            for action in actions {
                self.serial += 1;
                match action {
                    Action::SendAttempt { id, server, .. } => {
                        self.sent.push((gateway, server));
                        let (attempt, outcome, load) = (AttemptNumber(0), AttemptOutcome::Success, Some(1.0));
                        let ended = Event::AttemptFinished {
                            id,
                            attempt,
                            outcome,
                            closed: true,
                            reported_load: load,
                        };
                        self.due.insert((self.now + 20 * MS, self.serial), (gateway, ended));
                    }
                    Action::SendToPeer { to, bytes } if to.0 < 2 => {
                        let from = GatewayId(gateway as u32);
                        events.push_back((to.0 as usize, Event::PeerMessage { from, bytes }));
                    }
                    Action::SetTimer { after, token } => {
                        self.due
                            .insert((self.now + after, self.serial), (gateway, Event::TimerFired { token }));
                    }
                    _ => {}
                }
            }
        }
    }

    /// One request, 5 ms after the last; and all that falls due until then.
    pub fn request(&mut self, number: u64) {
        self.now += 5 * MS;
        while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= self.now) {
            let (gateway, event) = first.remove();
            self.handle(gateway, event);
        }
        let event = Event::RequestReceived {
            id: RequestId(format!("r{number}").into()),
            class: ClassId((number % 2) as usize),
            plan: PlanId(0),
            customer: CustomerId(number % 50),
            units: 1.0,
            gateways: GatewaySet { first: GatewayId(0), count: 2 },
            client_timeout: 2_000 * MS,
        };
        self.handle((number % 2) as usize, event);
    }
}

pub fn whole(servers: u64) -> Event {
    Event::EndpointsUpdated { kind: EndpointUpdate::Snapshot, endpoints: (0..servers).map(entry).collect() }
}
