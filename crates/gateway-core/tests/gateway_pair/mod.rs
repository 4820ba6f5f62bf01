//! A simulation of two gateways of a large fleet, which own the quotas of each other's customers,
//! and of the servers that they use.

use gateway_core::Gateway;
use gateway_core::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);
/// Number of gateways in the settings.
const GATEWAYS: u32 = 4_200;
/// Number of gateways that are simulated. Messages to other gateways are lost.
const SIMULATED_GATEWAYS: usize = 2;
/// Time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// How long a client waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of customers, which send requests in turn.
const CUSTOMERS: u64 = 50;

/// Returns the settings of one gateway of the fleet, with two classes and one plan without a quota.
fn settings(gateway: u32) -> Settings {
    Settings {
        gateway_id: GatewayId(gateway),
        gateway_count: GATEWAYS,
        zone: ZoneId(0),
        classes: vec![class(1.0, 800 * MILLISECOND), class(4.0, 400 * MILLISECOND)],
        plans: vec![plan_without_quota()],
        rules: ServerRules {
            warm_up_from: 0.2,
            warm_up_period: 10_000 * MILLISECOND,
            overload_multiple: 3.0,
            overload_window: 1_000 * MILLISECOND,
        },
        permissions: Permissions {
            max_attempts: 3,
            cancel_attempts: true,
            peer_messages: true,
            max_retry_after: None,
        },
        cross_zone_cost: 0.0,
        discovery: EndpointDiscovery::Pushed,
        event_period: 2 * MILLISECOND,
        peer_messages_per_second: 60.0,
        max_request_units: Units::new(1.0),
    }
}

fn class(priority_weight: f64, latency_objective: Duration) -> Class {
    Class {
        latency_objective,
        late_weight: 0.2,
        client_deadline: Duration::from_secs(4),
        priority_weight,
        idempotency: Idempotency::Idempotent,
    }
}

fn plan_without_quota() -> Plan {
    Plan {
        rate: 0.0,
        burst: Units::new(9.0),
        max_concurrent: None,
        weight: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 0.5,
        hard_limit: None,
    }
}

/// Returns the endpoint of the server with this number.
pub(crate) fn endpoint(number: u64) -> Endpoint {
    Endpoint {
        server: ServerId(number * 0x1_0000_0001),
        zone: ZoneId((number % 4) as u32),
        cell: CellId(number / 20),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    }
}

/// Returns the number of a server.
pub(crate) fn server_number(server: ServerId) -> u64 {
    server.0 & 0xFFFF_FFFF
}

/// Returns the event that a complete endpoint list of this many servers arrives.
pub(crate) fn snapshot(servers: u64) -> Event {
    let endpoints = (0..servers).map(endpoint).collect();
    Event::EndpointsUpdated {
        kind: EndpointUpdate::Snapshot,
        endpoints,
    }
}

/// Returns the event that a list of these changed endpoints arrives.
pub(crate) fn delta(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsUpdated {
        kind: EndpointUpdate::Delta,
        endpoints,
    }
}

/// An event, and the index of the gateway that receives it.
struct GatewayEvent {
    gateway: usize,
    event: Event,
}

/// Sort key of scheduled events. Events of the same time are executed in the order in which they
/// were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduleKey {
    at: Timestamp,
    sequence: u64,
}

/// An attempt that a gateway has sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    /// Index of the gateway.
    pub(crate) gateway: usize,
    /// Server that the attempt was sent to.
    pub(crate) server: ServerId,
}

/// Two gateways that receive each other's messages without delay.
pub(crate) struct GatewayPair {
    /// Current time of the simulation.
    pub(crate) now: Timestamp,
    pub(crate) gateways: Vec<Gateway>,
    scheduled: BTreeMap<ScheduleKey, GatewayEvent>,
    last_sequence: u64,
    /// Attempts of both gateways, in the order in which they were sent.
    pub(crate) sent: Vec<SentAttempt>,
}

impl GatewayPair {
    /// Returns two gateways that have received a list of this many servers.
    pub(crate) fn new(servers: u64) -> anyhow::Result<GatewayPair> {
        let mut gateways = Vec::new();
        for number in 0..SIMULATED_GATEWAYS as u32 {
            gateways.push(Gateway::new(
                9 + u64::from(number),
                settings(number),
                Timestamp::EPOCH + MILLISECOND,
            )?);
        }
        let scheduled = BTreeMap::new();
        let mut pair = GatewayPair {
            now: Timestamp::EPOCH + MILLISECOND,
            gateways,
            scheduled,
            last_sequence: 0,
            sent: Vec::new(),
        };
        for gateway in 0..SIMULATED_GATEWAYS {
            pair.handle(gateway, snapshot(servers));
        }
        Ok(pair)
    }

    /// Returns how many entries of their server tables both gateways have visited so far.
    pub(crate) fn entries_visited(&self) -> u64 {
        self.gateways.iter().map(Gateway::entries_visited).sum()
    }

    /// Passes an event to a gateway, and delivers all messages that result from it.
    pub(crate) fn handle(&mut self, gateway: usize, event: Event) {
        let mut events = VecDeque::from([GatewayEvent { gateway, event }]);
        while let Some(GatewayEvent { gateway, event }) = events.pop_front() {
            let mut actions = Vec::new();
            self.gateways[gateway].handle(self.now, event, &mut actions);
            for action in actions {
                events.extend(self.execute(gateway, action));
            }
        }
    }

    /// Carries out an action. If it sends a message to a simulated gateway, returns the event that
    /// the message arrives.
    fn execute(&mut self, gateway: usize, action: Action) -> Option<GatewayEvent> {
        match action {
            Action::SendAttempt { id, server, .. } => {
                self.sent.push(SentAttempt { gateway, server });
                self.schedule(SERVICE_TIME, gateway, success(id));
            }
            Action::SetTimer { after, token } => {
                self.schedule(after, gateway, Event::TimerFired { token });
            }
            Action::SendToPeer { to, bytes } if (to.0 as usize) < SIMULATED_GATEWAYS => {
                let event = Event::PeerMessage {
                    from: GatewayId(gateway as u32),
                    bytes,
                };
                return Some(GatewayEvent {
                    gateway: to.0 as usize,
                    event,
                });
            }
            _ => {}
        }
        None
    }

    fn schedule(&mut self, after: Duration, gateway: usize, event: Event) {
        self.last_sequence += 1;
        let key = ScheduleKey {
            at: self.now + after,
            sequence: self.last_sequence,
        };
        self.scheduled.insert(key, GatewayEvent { gateway, event });
    }

    /// Advances the time by one request interval, executes all scheduled events that are due, and
    /// sends one request.
    pub(crate) fn send_request(&mut self, number: u64) {
        self.now = self.now + REQUEST_INTERVAL;
        while let Some(first) = self
            .scheduled
            .first_entry()
            .filter(|first| first.key().at <= self.now)
        {
            let GatewayEvent { gateway, event } = first.remove();
            self.handle(gateway, event);
        }
        let event = Event::RequestReceived {
            id: RequestId(format!("r{number}").into()),
            class: ClassId((number % 2) as usize),
            plan: PlanId(0),
            customer: CustomerId(number % CUSTOMERS),
            units: Units::new(1.0),
            gateways: GatewaySet {
                first: GatewayId(0),
                count: SIMULATED_GATEWAYS as u32,
            },
            client_timeout: CLIENT_TIMEOUT,
        };
        self.handle(number as usize % SIMULATED_GATEWAYS, event);
    }

    /// Sends one request for each number in a range.
    pub(crate) fn send_requests(&mut self, numbers: std::ops::Range<u64>) {
        for number in numbers {
            self.send_request(number);
        }
    }
}

/// Returns the event that the first attempt of a request succeeds.
fn success(id: RequestId) -> Event {
    Event::AttemptFinished {
        id,
        attempt: AttemptNumber(0),
        outcome: AttemptOutcome::Success,
        closed: true,
        reported_load: Some(1.0),
    }
}
