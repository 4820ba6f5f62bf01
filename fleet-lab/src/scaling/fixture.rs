//! Two gateways of one fleet, each the owner of the quotas of the other's customers, with servers that answer at once.
//! What the first does is measured; the second is its peer and has the same list, evidence and pace.

use super::Sizes;
use anyhow::{bail, Context, Result};
use cpu_time::ThreadTime;
use edge_node::Gateway;
use edge_node::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stats_alloc::INSTRUMENTED_SYSTEM;
use std::collections::VecDeque;

/// A millisecond.
pub const MS: Micros = 1_000;
/// Time between two requests at one gateway: 236 a second.
const PACE: Micros = 1_000_000 / 236;
/// How long a server takes.
const SERVED_IN: Micros = 3 * MS;
/// How long a client waits; also for those that stay open.
const PATIENCE: Micros = 3_600_000 * MS;
/// The module's controller tick.
pub const TICK: Micros = 500 * MS;
/// Customers whose requests are sent on in turn, at the least; enough that owners need not thin out their asks. Where
/// more requests stay open, each has a customer of its own.
pub const ACTIVE: u64 = 64;
/// Zones of the fleet.
const ZONES: u32 = 29;
/// Customers' numbers fit into 33 bits (the protocol page).
const CUSTOMERS: u64 = 1 << 33;
/// The two gateways.
const PAIR: [GatewayId; 2] = [GatewayId(0), GatewayId(1)];

/// What some work of a gateway has cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time of this thread, in µs.
    pub time: f64,
    /// Allocations.
    pub allocations: u64,
    /// Server entries that the gateway looked at.
    pub visited: u64,
    /// Datagrams sent; one to all peers counts once for each.
    pub messages: u64,
    /// Bytes of these, without headers.
    pub bytes: u64,
    /// Bytes of the longest.
    pub longest: u64,
    /// How many events that was.
    pub events: u64,
}

impl Cost {
    /// Adds another.
    pub fn add(&mut self, other: Cost) {
        self.time += other.time;
        self.allocations += other.allocations;
        self.visited += other.visited;
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.longest = self.longest.max(other.longest);
        self.events += other.events;
    }
}

/// Bytes that are allocated and not freed. Nothing of the lab's own may change between two looks at it.
pub fn live_bytes() -> u64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated) as u64
}

/// Whether the program that runs counts its allocations at all.
pub fn counts_allocations() -> bool {
    let before = INSTRUMENTED_SYSTEM.stats().allocations;
    drop(std::hint::black_box(Box::new(0u64)));
    INSTRUMENTED_SYSTEM.stats().allocations > before
}

/// Settings of a fleet with two classes of requests and one plan, which no customer here uses up.
pub fn settings(me: GatewayId, gateways: u32) -> Settings {
    let class = |worth, effect| Class {
        latency_objective: 1_000 * MS,
        late_weight: 0.2,
        priority_weight: worth,
        idempotency: effect,
    };
    let plan = Plan {
        // One owner looks after it.
        rate: 20.0,
        burst: 100.0,
        max_concurrent: None,
        weight: 1.0,
        over_quota_weight: 0.2,
        over_quota_cost: 0.0,
        hard_limit: None,
    };
    Settings {
        gateway_id: me,
        gateway_count: gateways,
        zone: ZoneId(0),
        classes: vec![class(3.0, Idempotency::Idempotent), class(5.0, Idempotency::NonIdempotent)],
        plans: vec![plan],
        rules: Rules {
            warm_up_from: 0.27,
            warm_up_period: 16_000 * MS,
            overload_multiple: 2.5,
            overload_window: 3_000 * MS,
        },
        permissions: Permissions {
            max_attempts: 5,
            cancel_attempts: true,
            peer_messages: true,
            max_retry_after: Some(10_000 * MS),
        },
        cross_zone_cost: 0.0,
        discovery: EndpointDiscovery::Pushed,
        event_period: 2 * MS,
        peer_messages_per_second: 40.0,
        max_request_units: 8.0,
    }
}

/// A list of servers with names as random as hashes, spread over all zones.
pub fn entries(rng: &mut ChaCha8Rng, servers: u64) -> Vec<Endpoint> {
    let entry = |number: u64| Endpoint {
        server: ServerId(rng.random()),
        zone: ZoneId((number % u64::from(ZONES)) as u32),
        cell: CellId(number % u64::from(ZONES)),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    };
    (0..servers).map(entry).collect()
}

/// A customer's tries, and the first of the gateways that they come through.
#[derive(Clone, Copy)]
struct Customer {
    id: CustomerId,
    first: GatewayId,
}

struct Side {
    gateway: Gateway,
    customers: Vec<Customer>,
    /// When it wants to be woken.
    wake: Micros,
}

/// The two gateways and their clock.
pub struct Stand {
    /// The time.
    pub now: Micros,
    /// What the first was told of servers.
    pub list: Vec<Endpoint>,
    rng: ChaCha8Rng,
    sizes: Sizes,
    sides: [Side; 2],
    mail: VecDeque<(usize, Event)>,
    serial: u64,
    /// Cost of the first gateway's own work since that was last taken, and of what its peer said unasked.
    own: Cost,
    asked: Cost,
    served: u64,
}

impl Stand {
    /// Two gateways that know their servers, have met their customers, and have run for a while.
    ///
    /// # Errors
    /// If a gateway can't be made, or does not serve.
    pub fn new(seed: u64, sizes: Sizes) -> Result<Stand> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let list = entries(&mut rng, sizes.servers);
        let now = 10 * TICK;
        let mut sides = Vec::new();
        for (me, owner) in [(PAIR[0], PAIR[1]), (PAIR[1], PAIR[0])] {
            let gateway = Gateway::new(rng.random(), settings(me, sizes.gateways), now)?;
            let customers = customers(&mut rng, sizes, owner)?;
            sides.push(Side { gateway, customers, wake: now + TICK });
        }
        let Ok(sides) = <[Side; 2]>::try_from(sides) else { bail!("a pair") };
        let mail = VecDeque::new();
        let (own, asked) = (Cost::default(), Cost::default());
        let mut stand = Stand { now, list, rng, sizes, sides, mail, serial: 0, own, asked, served: 0 };
        for side in 0..2 {
            let entries = stand.list.clone();
            stand.post(side, Event::EndpointsUpdated { kind: EndpointUpdate::Snapshot, endpoints: entries });
        }
        stand.meet();
        (0..stand.warm_up()).try_for_each(|_| stand.request())?;
        // Both tick now, so that no tick falls on what is measured after.
        stand.now += TICK + MS;
        for side in 0..2 {
            stand.wake(side);
        }
        stand.deliver_unmeasured();
        stand.open();
        stand.take();
        Ok(stand)
    }

    /// Requests of the warm-up: fewer where each is dear.
    fn warm_up(&self) -> u64 {
        (1_000_000 / self.sizes.servers.max(1)).clamp(40, 200)
    }

    /// What the first gateway's own requests and times cost since the last call, and what its peer's messages did.
    pub fn take(&mut self) -> (Cost, Cost) {
        (std::mem::take(&mut self.own), std::mem::take(&mut self.asked))
    }

    /// All other customers try once, too late to be sent on, at the first gateway.
    fn meet(&mut self) {
        let known = self.sides[0].customers.len() as u64;
        for number in 0..self.sizes.customers.saturating_sub(known) {
            let customer = Customer { id: CustomerId(CUSTOMERS - 1 - number), first: PAIR[0] };
            let event = self.try_of(customer, 0);
            self.post(0, event);
        }
    }

    /// Leaves as many requests open at the first gateway as there should be, less the one that is measured.
    fn open(&mut self) {
        for _ in 1..self.sizes.open {
            let customer = self.next_customer(0);
            let event = self.try_of(customer, PATIENCE);
            self.mail.push_back((0, event));
            while let Some((side, event)) = self.mail.pop_front() {
                // Its server answers nothing while this is looked at.
                if !matches!(event, Event::AttemptFinished { .. }) {
                    self.post(side, event);
                }
            }
        }
    }

    fn next_customer(&mut self, side: usize) -> Customer {
        let customers = &self.sides[side].customers;
        customers[(self.serial as usize / 2) % customers.len()]
    }

    fn try_of(&mut self, customer: Customer, patience: Micros) -> Event {
        self.serial += 1;
        Event::RequestReceived {
            id: RequestId(format!("{:016x}", self.serial).into()),
            class: ClassId((self.serial / 3 % 2) as usize),
            plan: PlanId(0),
            customer: customer.id,
            units: 1.0,
            gateways: GatewaySet { first: customer.first, count: self.sizes.spread.min(self.sizes.gateways) },
            client_timeout: patience,
        }
    }

    /// One request at each gateway, from its coming in to its answer, and the time to the next.
    ///
    /// # Errors
    /// If it is not served at the first: what was measured would be a refusal.
    pub fn request(&mut self) -> Result<()> {
        let next = self.now + PACE;
        let before = self.served;
        for side in 0..2 {
            let customer = self.next_customer(side);
            let event = self.try_of(customer, PATIENCE);
            self.mail.push_back((side, event));
        }
        self.deliver();
        if self.served == before {
            bail!("request {} was not served", self.serial);
        }
        self.wait(next);
        Ok(())
    }

    /// Does what is under way, with the time that servers take.
    fn deliver(&mut self) {
        while let Some((side, event)) = self.mail.pop_front() {
            if matches!(event, Event::AttemptFinished { .. }) && side == 0 {
                self.now += SERVED_IN;
            }
            let cost = self.post(side, event);
            self.own.add(cost.0);
            self.asked.add(cost.1);
        }
    }

    /// Lets time pass, with the wakes that were asked for. What these cost is not part of a request.
    pub fn wait(&mut self, until: Micros) {
        while let Some(side) = (0..2).find(|side| self.sides[*side].wake <= until) {
            self.now = self.now.max(self.sides[side].wake);
            self.wake(side);
            self.deliver_unmeasured();
        }
        self.now = self.now.max(until);
    }

    fn deliver_unmeasured(&mut self) {
        while let Some((side, event)) = self.mail.pop_front() {
            // Counts to all peers come when they are due, not with a request.
            let cost = self.post(side, event);
            self.asked.add(cost.1);
        }
    }

    /// Wakes a gateway now; its cost.
    pub fn wake(&mut self, side: usize) -> Cost {
        self.sides[side].wake = Micros::MAX;
        self.post(side, Event::TimerFired { token: 0 }).0
    }

    /// When the first gateway wants to be woken.
    pub fn due(&self) -> Micros {
        self.sides[0].wake
    }

    /// A whole list, or changes to it, told to the first gateway; its cost.
    pub fn told(&mut self, kind: EndpointUpdate, entries: Vec<Endpoint>) -> Cost {
        self.post(0, Event::EndpointsUpdated { kind, endpoints: entries }).0
    }

    /// A server that drains, or is ready again, picked at random.
    pub fn change(&mut self) -> Endpoint {
        let place = self.rng.random_range(0..self.list.len());
        let entry = &mut self.list[place];
        let ready = entry.state == EndpointState::Ready;
        entry.state = if ready { EndpointState::Draining } else { EndpointState::Ready };
        *entry
    }

    /// Gives a gateway an event and does what it asks for. The cost is that of the first gateway alone: of its own
    /// work, and of a message that its peer sent unasked.
    fn post(&mut self, side: usize, event: Event) -> (Cost, Cost) {
        let unasked = matches!(&event, Event::PeerMessage { bytes, .. } if !is_answer(bytes));
        let mut out = Vec::with_capacity(8);
        let gateway = &mut self.sides[side].gateway;
        let visited = gateway.entries_visited();
        let before = INSTRUMENTED_SYSTEM.stats().allocations;
        let begun = ThreadTime::now();
        gateway.handle(self.now, event, &mut out);
        let time = begun.elapsed().as_nanos() as f64 / 1e3;
        let visited = gateway.entries_visited() - visited;
        let allocations = (INSTRUMENTED_SYSTEM.stats().allocations - before) as u64;
        let mut cost = Cost { time, allocations, visited, events: 1, ..Cost::default() };
        for action in out {
            self.apply(side, action, &mut cost);
        }
        match (side, unasked) {
            (0, false) => (cost, Cost::default()),
            (0, true) => (Cost::default(), cost),
            _ => Default::default(),
        }
    }

    fn apply(&mut self, side: usize, action: Action, cost: &mut Cost) {
        let other = 1 - side;
        match action {
            Action::SendAttempt { id, .. } => {
                self.served += u64::from(side == 0);
                let load = Some(f64::from(self.rng.random_range(0..4u8)));
                let (attempt, outcome) = (AttemptNumber(0), AttemptOutcome::Success);
                self.mail.push_back((
                    side,
                    Event::AttemptFinished { id, attempt, outcome, closed: true, reported_load: load },
                ));
            }
            Action::SendToPeer { to, bytes } => {
                self.sent(1, &bytes, cost);
                if to == PAIR[other] {
                    self.mail.push_back((other, Event::PeerMessage { from: PAIR[side], bytes }));
                }
            }
            Action::Broadcast { bytes } => {
                self.sent(u64::from(self.sizes.gateways) - 1, &bytes, cost);
                self.mail.push_back((other, Event::PeerMessage { from: PAIR[side], bytes }));
            }
            Action::SetTimer { after, .. } => {
                self.sides[side].wake = self.sides[side].wake.min(self.now + after);
            }
            Action::Reject { .. }
            | Action::Fail { .. }
            | Action::CancelAttempt { .. }
            | Action::WatchEndpoints
            | Action::Warn(_) => {}
        }
    }

    fn sent(&self, copies: u64, bytes: &[u8], cost: &mut Cost) {
        cost.messages += copies;
        cost.bytes += copies * bytes.len() as u64;
        cost.longest = cost.longest.max(bytes.len() as u64);
    }
}

/// Whether a datagram answers an ask: its second byte tells the kind.
fn is_answer(bytes: &[u8]) -> bool {
    bytes.get(1) == Some(&2)
}

/// Customers whose quota this owner keeps: a try of each at a gateway of its own
/// shows how far round from the first its owner stands.
fn customers(rng: &mut ChaCha8Rng, sizes: Sizes, owner: GatewayId) -> Result<Vec<Customer>> {
    let Sizes { gateways, .. } = sizes;
    let mut found = Vec::new();
    for _ in 0..sizes.open.max(ACTIVE).min(sizes.customers) {
        let id = CustomerId(rng.random_range(0..CUSTOMERS / 2));
        let step = step(id, sizes)?;
        found.push(Customer { id, first: GatewayId((owner.0 + gateways - step) % gateways) });
    }
    Ok(found)
}

/// How many places after the first of its gateways a customer's owner stands; 0 where the fleet has no owners.
fn step(customer: CustomerId, sizes: Sizes) -> Result<u32> {
    let (gateways, spread) = (sizes.gateways, sizes.spread.min(sizes.gateways));
    let mut scratch = Gateway::new(1, settings(PAIR[0], gateways), 10 * TICK).context("a scratch gateway")?;
    let mut out = Vec::new();
    let id = RequestId("probe".into());
    let (class, plan, units, first) = (ClassId(0), PlanId(0), 1.0, PAIR[0]);
    let event = Event::RequestReceived {
        id,
        class,
        plan,
        customer,
        units,
        gateways: GatewaySet { first, count: spread },
        client_timeout: PATIENCE,
    };
    scratch.handle(10 * TICK, event, &mut out);
    let to = out.iter().find_map(|action| match action {
        Action::SendToPeer { to, .. } => Some(to.0),
        _ => None,
    });
    Ok(to.unwrap_or(0))
}
