//! Two gateways of one fleet, each the owner of the quotas of the other's customers, with servers that answer
//! immediately. The first is measured; the second is its peer and has the same list, information and request rate.

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

/// Time between two requests at one gateway: 236 a second.
const REQUEST_INTERVAL: Duration = Duration::from_micros(1_000_000 / 236);
/// Time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// The index of the gateway that is measured.
pub(super) const MEASURED: usize = 0;
/// The second byte of a datagram is its kind; this one answers a lease request.
const LEASE_GRANT_KIND: u8 = 2;

/// An event for one of the gateways.
struct PendingEvent {
    /// The index of the gateway.
    member: usize,
    event: Event,
}

/// What the first gateway's work has cost.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MeasuredCosts {
    /// Its own requests and timers.
    pub(super) own: Cost,
    /// Messages that its peer sent, other than answers.
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
    /// The time.
    pub(super) now: Timestamp,
    /// The list of servers as the first gateway has it.
    pub(super) endpoints: Vec<Endpoint>,
    rng: ChaCha8Rng,
    sizes: FleetSizes,
    members: [Member; 2],
    pending: VecDeque<PendingEvent>,
    last_request_number: u64,
    costs: MeasuredCosts,
    /// Attempts that the first gateway has sent; each is served.
    served_attempts: u64,
}

impl GatewayPair {
    /// Two gateways that know their servers, have met their customers, and have run for a while.
    ///
    /// # Errors
    /// If a gateway can't be made, or does not serve.
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

    /// What the first gateway's work has cost since the last call.
    pub(super) fn take_costs(&mut self) -> MeasuredCosts {
        std::mem::take(&mut self.costs)
    }

    fn enqueue(&mut self, member: usize, event: Event) {
        self.pending.push_back(PendingEvent { member, event });
    }

    /// Enqueues a request of the next customer of a gateway.
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

    /// One request at each gateway, from its arrival to its answer, and the time to the next.
    ///
    /// # Errors
    /// If it is not served at the first: what was measured would be a rejection.
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

    /// Delivers all pending events, with the time that servers take.
    fn deliver(&mut self) {
        while let Some(PendingEvent { member, event }) = self.pending.pop_front() {
            if member == MEASURED && matches!(event, Event::AttemptFinished { .. }) {
                self.now = self.now + SERVICE_TIME;
            }
            let costs = self.handle_event(member, event);
            self.costs.add(costs);
        }
    }

    /// Lets time pass until then, with the timers that fire meanwhile. What these cost is not part of a request.
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
            // Usage counts to all peers are sent when they are due, not with a request.
            let costs = self.handle_event(member, event);
            self.costs.peer_messages.add(costs.peer_messages);
        }
    }

    /// Fires a gateway's timer now; returns what that costs.
    pub(super) fn fire_timer(&mut self, member: usize) -> Cost {
        self.members[member].timer_at = Timestamp::MAX;
        self.handle_event(member, Event::TimerFired { token: 0 })
            .own
    }

    /// When the first gateway's timer fires.
    pub(super) fn next_timer(&self) -> Timestamp {
        self.members[MEASURED].timer_at
    }

    /// Gives the first gateway a list of servers, or changes to it; returns what that costs.
    pub(super) fn update_endpoints(
        &mut self,
        kind: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) -> Cost {
        self.handle_event(MEASURED, Event::EndpointsUpdated { kind, endpoints })
            .own
    }

    /// Draws a server that starts to drain, or becomes ready again.
    pub(super) fn change_endpoint(&mut self) -> Endpoint {
        let index = self.rng.random_range(0..self.endpoints.len());
        let endpoint = &mut self.endpoints[index];
        endpoint.state = match endpoint.state {
            EndpointState::Ready => EndpointState::Draining,
            EndpointState::Draining | EndpointState::Gone => EndpointState::Ready,
        };
        *endpoint
    }

    /// Gives a gateway an event and carries out its actions; returns what that costs the first gateway.
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

    /// A server answers an attempt.
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
