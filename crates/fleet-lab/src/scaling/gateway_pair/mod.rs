//! Two gateways of one fleet, each of which owns the quotas of the other's customers, with servers
//! that answer immediately. The first gateway is measured; the second gateway is its peer, with the
//! same list of servers and the same request rate.

mod member;
mod preparation;

use super::cost::{measure_event, Cost};
use super::fleet::{draw_endpoints, Customer, CLIENT_TIMEOUT, GATEWAY_IDS, START};
use super::sizes::FleetSizes;
use anyhow::{bail, Result};
use gateway_core::{
    Action, AttemptNumber, AttemptOutcome, ClassId, Endpoint, EndpointState, EndpointUpdate, Event,
    GatewaySet, PlanId, RequestId, Timestamp, Units,
};
use member::Member;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Time between two requests at one gateway, for 236 requests per second.
const REQUEST_INTERVAL: Duration = Duration::from_micros(1_000_000 / 236);
/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// Index of the gateway that is measured.
pub(super) const MEASURED: usize = 0;
/// Kind of the datagrams that answer a lease request; the kind is the second byte of a datagram.
const LEASE_GRANT_KIND: u8 = 2;

/// An event that one of the gateways has yet to handle.
struct PendingEvent {
    /// Index of the gateway.
    member: usize,
    event: Event,
}

/// Cost of the first gateway's work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MeasuredCosts {
    /// Cost of the gateway's own requests and timers, including lease grants that it receives.
    pub(super) own: Cost,
    /// Cost of messages from its peer other than lease grants.
    pub(super) peer_messages: Cost,
}

impl MeasuredCosts {
    fn add(&mut self, other: MeasuredCosts) {
        self.own.add(other.own);
        self.peer_messages.add(other.peer_messages);
    }
}

/// The two gateways and their clock.
pub(super) struct GatewayPair {
    /// Current time.
    pub(super) now: Timestamp,
    /// List of servers as the first gateway knows it.
    pub(super) endpoints: Vec<Endpoint>,
    rng: ChaCha8Rng,
    sizes: FleetSizes,
    members: [Member; 2],
    pending: VecDeque<PendingEvent>,
    last_request_number: u64,
    costs: MeasuredCosts,
    /// Number of attempts that the first gateway has sent; each of them is served.
    served_attempts: u64,
}

impl GatewayPair {
    /// Creates two gateways that know their servers, have received requests of their customers, and
    /// have run for a while.
    ///
    /// # Errors
    /// Returns an error if a gateway cannot be created or does not serve a request.
    pub(super) fn new(seed: u64, sizes: FleetSizes) -> Result<GatewayPair> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoints = draw_endpoints(&mut rng, sizes.servers);
        let now = START;
        let first = Member::draw(&mut rng, sizes, now, GATEWAY_IDS[0], GATEWAY_IDS[1])?;
        let second = Member::draw(&mut rng, sizes, now, GATEWAY_IDS[1], GATEWAY_IDS[0])?;
        let mut pair = GatewayPair {
            now,
            endpoints,
            rng,
            sizes,
            members: [first, second],
            pending: VecDeque::new(),
            last_request_number: 0,
            costs: MeasuredCosts::default(),
            served_attempts: 0,
        };
        pair.prepare()?;
        Ok(pair)
    }

    /// Returns the cost of the first gateway's work since the last call.
    pub(super) fn take_costs(&mut self) -> MeasuredCosts {
        std::mem::take(&mut self.costs)
    }

    fn enqueue(&mut self, member: usize, event: Event) {
        self.pending.push_back(PendingEvent { member, event });
    }

    /// Enqueues a request of the gateway's next customer.
    fn enqueue_request(&mut self, member: usize) {
        let customers = &self.members[member].customers;
        let customer = customers[(self.last_request_number as usize / 2) % customers.len()];
        let event = self.request_event(customer, CLIENT_TIMEOUT);
        self.enqueue(member, event);
    }

    fn request_event(&mut self, customer: Customer, client_timeout: Duration) -> Event {
        self.last_request_number += 1;
        let count = self.sizes.effective_gateways_per_customer();
        Event::RequestReceived {
            id: RequestId(format!("{:016x}", self.last_request_number).into()),
            class: ClassId((self.last_request_number / 3 % 2) as usize),
            plan: PlanId(0),
            customer: customer.id,
            units: Units::new(1.0),
            gateways: GatewaySet {
                first: customer.first_gateway,
                count,
            },
            client_timeout,
        }
    }

    /// Sends one request to each gateway, delivers all events until the answers, and advances the
    /// time to the next request.
    ///
    /// # Errors
    /// Returns an error if the first gateway does not serve its request: the measured cost would be
    /// that of a rejection.
    pub(super) fn request(&mut self) -> Result<()> {
        let next_request_at = self.now + REQUEST_INTERVAL;
        let served_before = self.served_attempts;
        for member in 0..self.members.len() {
            self.enqueue_request(member);
        }
        self.deliver();
        if self.served_attempts == served_before {
            bail!("request {} was not served", self.last_request_number);
        }
        self.advance(next_request_at);
        Ok(())
    }

    /// Delivers all pending events, and lets the service time pass for attempts of the first
    /// gateway.
    fn deliver(&mut self) {
        while let Some(PendingEvent { member, event }) = self.pending.pop_front() {
            if member == MEASURED && matches!(event, Event::AttemptFinished { .. }) {
                self.now = self.now + SERVICE_TIME;
            }
            let costs = self.handle_event(member, event);
            self.costs.add(costs);
        }
    }

    /// Advances the time to `until` and fires the timers that are due by then. The first gateway's
    /// own cost of these timers is not counted, because the timers are not part of a request.
    pub(super) fn advance(&mut self, until: Timestamp) {
        while let Some(member) = self
            .members
            .iter()
            .position(|member| member.timer_at <= until)
        {
            self.now = self.now.max(self.members[member].timer_at);
            self.fire_timer(member);
            self.deliver_unmeasured();
        }
        self.now = self.now.max(until);
    }

    fn deliver_unmeasured(&mut self) {
        while let Some(PendingEvent { member, event }) = self.pending.pop_front() {
            // Usage counts are broadcast when they are due, independently of requests, so only the
            // cost of receiving them is counted.
            let costs = self.handle_event(member, event);
            self.costs.peer_messages.add(costs.peer_messages);
        }
    }

    /// Fires a gateway's timer now and returns the cost to the first gateway.
    pub(super) fn fire_timer(&mut self, member: usize) -> Cost {
        self.members[member].timer_at = Timestamp::MAX;
        self.handle_event(member, Event::TimerFired { token: 0 })
            .own
    }

    /// Returns the time at which the first gateway's timer fires.
    pub(super) fn next_timer(&self) -> Timestamp {
        self.members[MEASURED].timer_at
    }

    /// Gives the first gateway a list of servers, or changes to the list, and returns the cost.
    pub(super) fn update_endpoints(
        &mut self,
        kind: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) -> Cost {
        self.handle_event(MEASURED, Event::EndpointsUpdated { kind, endpoints })
            .own
    }

    /// Draws a server and changes its state: a ready server starts to drain, any other server
    /// becomes ready. Returns the server's new entry of the list.
    pub(super) fn change_endpoint(&mut self) -> Endpoint {
        let index = self.rng.random_range(0..self.endpoints.len());
        let endpoint = &mut self.endpoints[index];
        endpoint.state = match endpoint.state {
            EndpointState::Ready => EndpointState::Draining,
            EndpointState::Draining | EndpointState::Gone => EndpointState::Ready,
        };
        *endpoint
    }

    /// Passes an event to a gateway and executes the resulting actions. Returns the cost to the
    /// first gateway.
    fn handle_event(&mut self, member: usize, event: Event) -> MeasuredCosts {
        let is_unsolicited =
            matches!(&event, Event::PeerMessage { bytes, .. } if !is_lease_grant(bytes));
        let mut actions = Vec::with_capacity(8);
        let gateway = &mut self.members[member].gateway;
        let mut cost = measure_event(gateway, self.now, event, &mut actions);
        for action in actions {
            self.execute(member, action, &mut cost);
        }
        let mut costs = MeasuredCosts::default();
        if member == MEASURED && is_unsolicited {
            costs.peer_messages = cost;
        } else if member == MEASURED {
            costs.own = cost;
        }
        costs
    }

    fn execute(&mut self, member: usize, action: Action, cost: &mut Cost) {
        let peer = 1 - member;
        let from = GATEWAY_IDS[member];
        match action {
            Action::SendAttempt { id, .. } => self.serve(member, id),
            Action::SendToPeer { to, bytes } => {
                cost.add_message(1, &bytes);
                if to == GATEWAY_IDS[peer] {
                    self.enqueue(peer, Event::PeerMessage { from, bytes });
                }
            }
            Action::Broadcast { bytes } => {
                cost.add_message(u64::from(self.sizes.gateways) - 1, &bytes);
                self.enqueue(peer, Event::PeerMessage { from, bytes });
            }
            Action::SetTimer { after, .. } => {
                let member = &mut self.members[member];
                member.timer_at = member.timer_at.min(self.now + after);
            }
            Action::Reject { .. }
            | Action::Fail { .. }
            | Action::CancelAttempt { .. }
            | Action::WatchEndpoints
            | Action::Warn(_) => {}
        }
    }

    /// Enqueues the successful answer of a server to an attempt.
    fn serve(&mut self, member: usize, id: RequestId) {
        self.served_attempts += u64::from(member == MEASURED);
        let reported_load = Some(f64::from(self.rng.random_range(0..4u8)));
        let (attempt, outcome) = (AttemptNumber(0), AttemptOutcome::Success);
        self.enqueue(
            member,
            Event::AttemptFinished {
                id,
                attempt,
                outcome,
                closed: true,
                reported_load,
            },
        );
    }
}

fn is_lease_grant(bytes: &[u8]) -> bool {
    bytes.get(1) == Some(&LEASE_GRANT_KIND)
}
