//! A harness around one gateway, with its own clock. A [`RequestLog`], which has no access to the
//! gateway's state, checks every action against the rules of the platform.

use super::request_log::{RequestLog, SentAttempt};
use super::{Micros, CUSTOMER, IDEMPOTENT, MILLISECOND, SECOND, UNLIMITED};
use gateway_core::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Step of the clock, after which due timers fire.
const TIMER_STEP: Micros = 2 * MILLISECOND;

pub(crate) struct PendingTimer {
    pub(crate) fires_at: Micros,
    pub(crate) token: u64,
}

/// An attempt that was sent and has not finished.
#[derive(Clone)]
pub(crate) struct InFlightAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) server: ServerId,
}

/// A gateway, the endpoints that it has received, and the actions that it has returned.
pub(crate) struct GatewayHarness {
    pub(crate) now: Micros,
    pub(crate) gateway: Gateway,
    pub(crate) settings: Settings,
    pub(crate) timers: Vec<PendingTimer>,
    pub(crate) endpoints: BTreeMap<ServerId, Endpoint>,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// All actions that the gateway has returned, in order.
    pub(crate) actions: Vec<Action>,
    /// The gateways that receive the customers' requests.
    pub(crate) customer_gateways: GatewaySet,
    /// Number of requests in flight that each server reports; servers without an entry report none.
    pub(crate) reported_loads: BTreeMap<ServerId, f64>,
    requests: RequestLog,
    last_request: u64,
}

impl GatewayHarness {
    pub(crate) fn new(seed: u64, settings: Settings, now: Micros) -> Self {
        let gateway = Gateway::new(seed, settings.clone(), Timestamp::from_micros(now))
            .expect("valid settings");
        GatewayHarness {
            now,
            gateway,
            customer_gateways: GatewaySet {
                first: GatewayId(0),
                count: settings.gateway_count,
            },
            settings,
            timers: Vec::new(),
            endpoints: BTreeMap::new(),
            in_flight: Vec::new(),
            actions: Vec::new(),
            reported_loads: BTreeMap::new(),
            requests: RequestLog::default(),
            last_request: 0,
        }
    }

    pub(crate) fn with_servers(seed: u64, settings: Settings, now: Micros, servers: u64) -> Self {
        let mut harness = GatewayHarness::new(seed, settings, now);
        harness.update_endpoints(
            EndpointUpdate::Snapshot,
            (0..servers).map(ready_endpoint).collect(),
        );
        harness
    }

    /// Creates a gateway that receives all requests of its customers, so that it decides on their
    /// quotas without messages to other gateways.
    pub(crate) fn sole_gateway(seed: u64, settings: Settings, now: Micros, servers: u64) -> Self {
        let customer_gateways = GatewaySet {
            first: settings.gateway_id,
            count: 1,
        };
        let harness = GatewayHarness::with_servers(seed, settings, now, servers);
        GatewayHarness {
            customer_gateways,
            ..harness
        }
    }

    pub(crate) fn update_endpoints(&mut self, kind: EndpointUpdate, endpoints: Vec<Endpoint>) {
        if kind == EndpointUpdate::Snapshot {
            self.endpoints.clear();
        }
        for endpoint in &endpoints {
            self.endpoints.insert(endpoint.server, *endpoint);
        }
        self.handle(Event::EndpointsUpdated { kind, endpoints });
    }

    /// Passes a request of one unit to the gateway, and returns its id.
    pub(crate) fn request(
        &mut self,
        class: ClassId,
        plan: PlanId,
        customer: CustomerId,
        client_timeout: Micros,
    ) -> RequestId {
        self.last_request += 1;
        let id = RequestId(format!("r{}", self.last_request).into());
        self.requests
            .received(id.clone(), class, self.now + client_timeout);
        self.handle(Event::RequestReceived {
            id: id.clone(),
            class,
            plan,
            customer,
            units: Units::new(1.0),
            gateways: self.customer_gateways,
            client_timeout: Duration::from_micros(client_timeout),
        });
        id
    }

    /// Passes a request to the gateway, and completes it with success if it is sent immediately.
    /// Returns whether it was sent.
    pub(crate) fn request_and_complete(
        &mut self,
        class: ClassId,
        plan: PlanId,
        customer: CustomerId,
        client_timeout: Micros,
    ) -> bool {
        let id = self.request(class, plan, customer, client_timeout);
        let sent = self.server_of(&id).is_some();
        if sent {
            self.finish(&id, AttemptOutcome::Success);
        }
        sent
    }

    /// Passes idempotent requests without a quota to the gateway, one per interval, and completes
    /// each with success if it is sent immediately. Returns the servers of the requests that were
    /// sent.
    pub(crate) fn complete_sequential_requests(
        &mut self,
        count: usize,
        interval: Micros,
    ) -> Vec<ServerId> {
        let mut servers = Vec::new();
        for _ in 0..count {
            let id = self.request(IDEMPOTENT, UNLIMITED, CUSTOMER, 2 * SECOND);
            if let Some(server) = self.server_of(&id) {
                servers.push(server);
                self.finish(&id, AttemptOutcome::Success);
            }
            self.advance(interval);
        }
        servers
    }

    /// Returns the server at which an attempt of a request is in flight.
    pub(crate) fn server_of(&self, id: &RequestId) -> Option<ServerId> {
        let attempt = self
            .in_flight
            .iter()
            .find(|attempt| attempt.request == *id)?;
        Some(attempt.server)
    }

    /// Finishes the attempt that a request has in flight, and returns the resulting actions.
    pub(crate) fn finish(&mut self, id: &RequestId, outcome: AttemptOutcome) -> Vec<Action> {
        let index = self
            .in_flight
            .iter()
            .position(|attempt| attempt.request == *id);
        let InFlightAttempt {
            request,
            attempt,
            server,
        } = self.in_flight.remove(index.expect("an attempt in flight"));
        let closed = self.requests.attempt_finished(&request, outcome);
        let reported_load = self.reported_loads.get(&server).copied();
        self.handle(Event::AttemptFinished {
            id: request,
            attempt,
            outcome,
            closed,
            reported_load,
        })
    }

    /// Completes all attempts in flight with success, and returns how many there were.
    pub(crate) fn complete_all(&mut self) -> usize {
        let in_flight = self.in_flight.clone();
        for attempt in &in_flight {
            self.finish(&attempt.request, AttemptOutcome::Success);
        }
        in_flight.len()
    }

    /// Disconnects the client of a request.
    pub(crate) fn disconnect(&mut self, id: &RequestId) {
        self.requests.client_disconnected(id);
        self.handle(Event::ClientDisconnected { id: id.clone() });
    }

    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let now = Timestamp::from_micros(self.now);
        self.gateway.handle(now, event, &mut actions);
        for action in &actions {
            self.carry_out(action);
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Advances the clock in steps, and fires all timers that are due. Returns the resulting
    /// actions.
    pub(crate) fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += TIMER_STEP;
            actions.extend(self.fire_due_timers());
            self.requests.assert_answered_in_time(self.now);
        }
        actions
    }

    /// Fires the timers that are due now, and returns the resulting actions.
    pub(crate) fn fire_due_timers(&mut self) -> Vec<Action> {
        let now = self.now;
        let (due, later) = self
            .timers
            .drain(..)
            .partition(|timer| timer.fires_at <= now);
        self.timers = later;
        let due: Vec<PendingTimer> = due;
        due.into_iter()
            .flat_map(|timer| self.handle(Event::TimerFired { token: timer.token }))
            .collect()
    }

    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::SendAttempt {
                id,
                server,
                write_deadline,
                ..
            } => {
                let sent = SentAttempt {
                    now: self.now,
                    endpoint: &self.endpoints[server],
                    write_deadline: *write_deadline,
                };
                let attempt = self.requests.attempt_sent(id, &sent, &self.settings);
                self.in_flight.push(InFlightAttempt {
                    request: id.clone(),
                    attempt,
                    server: *server,
                });
            }
            Action::Reject { id, retry_after } => {
                let retry_at = self.now + retry_after.unwrap_or_default().as_micros() as Micros;
                self.requests.rejected(id, retry_at, &self.settings);
            }
            Action::Fail { id } => self.requests.failed(id),
            Action::SetTimer { after, token } => {
                self.timers.push(PendingTimer {
                    fires_at: self.now + after.as_micros() as Micros,
                    token: *token,
                });
            }
            Action::Broadcast { bytes } | Action::SendToPeer { bytes, .. } => {
                assert!(bytes.len() <= 256, "message exceeds 256 bytes");
            }
            Action::CancelAttempt { .. } | Action::WatchEndpoints | Action::Warn(_) => {}
        }
    }

    /// Returns how many attempts the gateway has sent.
    pub(crate) fn sent_count(&self) -> usize {
        count_sent(&self.actions)
    }

    /// Returns how many requests the gateway has rejected or failed.
    pub(crate) fn rejected_or_failed_count(&self) -> usize {
        self.actions
            .iter()
            .filter(|action| matches!(action, Action::Reject { .. } | Action::Fail { .. }))
            .count()
    }
}

/// Returns how many of these actions send an attempt.
pub(crate) fn count_sent(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::SendAttempt { .. }))
        .count()
}

/// Returns the endpoint of a ready server. Even and odd numbers are in different zones and cells.
pub(crate) fn ready_endpoint(server: u64) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: ZoneId((server % 2) as u32),
        cell: CellId(server % 2),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    }
}
