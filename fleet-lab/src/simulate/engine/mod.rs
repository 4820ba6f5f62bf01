//! Plays an experiment: one queue of events in simulated time, between the world and the hollow nodes.

mod attempts;
mod queue;

use super::experiment::Experiment;
use super::faults::Step;
use super::report::Report;
use crate::world::clients::{Clients, Demand, Heard, Try};
use crate::world::datagrams::{Datagrams, Weather};
use crate::world::discovery::{Discovery, Told};
use crate::world::invariant_checker::{Referee, Verdict, ANSWER_GRACE};
use crate::world::servers::{Server, ServerEvent};
use crate::world::{stream, RequestNo, Rng, START};
use crate::Failure;
use edge_node::Gateway;
use edge_node::{
    Action, AttemptOutcome, Endpoint, EndpointState, Event, GatewayId, GatewaySet, Micros, RequestId,
    ServerId, Settings, SettingsError, ZoneId,
};
use queue::{Queue, What};
use rand::Rng as _;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

/// µs by which a gateway hears late of a change of the list.
const LISTS: Range<Micros> = 300_000..3_000_000;
/// µs for which requests go on coming to a dead gateway.
const UNNOTICED: Range<Micros> = 850_000..3_200_000;
/// µs after which a gateway that has followed, where it must ask, is answered.
const ASKED: Micros = 5_000;
/// µs after which a call to a silent discovery has failed.
const CALL_FAILS: Micros = 250_000;

/// What decides for one gateway: the module, or a wrapper of it that a test sets in its place.
pub trait Decides {
    /// Takes in one event at a simulated time, µs; what is to be done is added to `out`.
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
}

impl Decides for Gateway {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        Gateway::handle(self, now, event, out);
    }
}

/// What a play came to.
pub struct Played {
    /// What follows from the seed.
    pub report: Report,
    /// Time on the host's clock inside [`Decides::handle`].
    pub deciding: Duration,
}

/// A gateway.
struct Node {
    /// `None` while it is dead.
    decides: Option<Box<dyn Decides>>,
    /// Counts its starts.
    life: u32,
    zone: ZoneId,
    /// While it is dead: from when on its clients are led elsewhere.
    noticed: Micros,
}

/// A request that is open, or of which an attempt is out.
struct Open {
    node: u32,
    life: u32,
    of: Try,
    deadline: Micros,
    answered: bool,
    /// By number: the server, and whether it is out.
    attempts: Vec<(usize, bool)>,
}

/// Makes what decides for a gateway, of a seed, its settings and the time of its start.
type Make<'a> = dyn FnMut(u64, Settings, Micros) -> Result<Box<dyn Decides>, SettingsError> + 'a;

struct Engine<'a> {
    experiment: &'a Experiment,
    now: Micros,
    queue: Queue,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    places: BTreeMap<ServerId, usize>,
    clients: Clients,
    discovery: Discovery,
    datagrams: Datagrams,
    referee: Referee,
    open: BTreeMap<RequestNo, Open>,
    rng: Rng,
    actions: Vec<Action>,
    effects: Vec<ServerEvent>,
    deciding: Duration,
    make: &'a mut Make<'a>,
    log: &'a mut dyn FnMut(&str),
}

/// Plays an experiment to the end of its last request. `make` starts what decides for a gateway, `progress` hears
/// the simulated time about once a second of it, and `log` what gateways log.
///
/// # Errors
/// Settings that a gateway refuses.
pub fn play(
    experiment: &Experiment,
    mut make: impl FnMut(u64, Settings, Micros) -> Result<Box<dyn Decides>, SettingsError>,
    progress: &mut dyn FnMut(Micros), log: &mut dyn FnMut(&str),
) -> Result<Played, Failure> {
    let mut engine = Engine::new(experiment, &mut make, log)?;
    engine.begin()?;
    let mut shown = START;
    let end = START + experiment.span;
    while let Some((at, what)) = engine.queue.next() {
        if at >= end && engine.open.is_empty() {
            break;
        }
        engine.now = at;
        if at >= shown {
            progress(at);
            shown = at + 1_000_000;
        }
        engine.happen(what)?;
    }
    let (now, traffic) = (engine.now, &engine.datagrams.traffic);
    let report = Report::new(experiment, now, &engine.servers, traffic, engine.referee);
    Ok(Played { report, deciding: engine.deciding })
}

impl<'a> Engine<'a> {
    fn new(
        experiment: &'a Experiment, make: &'a mut Make<'a>, log: &'a mut dyn FnMut(&str),
    ) -> Result<Engine<'a>, Failure> {
        let Experiment { seed, named, machine, timeline, .. } = experiment;
        let (settings, nodes) = (&named.settings, experiment.nodes() as usize);
        let demand = Demand {
            rate: experiment.rate,
            longest: named.longest_deadline,
            surges: timeline.surges.clone(),
            floods: timeline.floods,
        };
        let weather = Weather {
            delay: 1_500..10_000,
            loss: 0.03,
            lossy: timeline.lossy,
            intake: settings.peer_messages_per_second,
        };
        let clients = Clients::new(stream(*seed, 1), START, settings, &demand);
        let customers = clients.customers.iter().map(|customer| (customer.id, customer.plan));
        let referee = Referee::new(settings.clone(), named.drain_grace, customers)?;
        let mut rng = stream(*seed, 0);
        let server = |entry: &Endpoint| Server::new(&mut rng, *entry, machine.clone(), settings.rules);
        let servers: Vec<Server> = experiment.servers.iter().map(server).collect();
        let place = |(place, server): (usize, &Server)| (server.entry.server, place);
        let list = experiment.servers.clone();
        Ok(Engine {
            experiment,
            now: START,
            queue: Queue::default(),
            nodes: Vec::new(),
            places: servers.iter().enumerate().map(place).collect(),
            servers,
            clients,
            discovery: Discovery::new(stream(*seed, 2), list, nodes, LISTS, timeline.silent.clone()),
            datagrams: Datagrams::new(stream(*seed, 3), START, weather, nodes),
            referee,
            open: BTreeMap::new(),
            rng,
            actions: Vec::new(),
            effects: Vec::new(),
            deciding: Duration::ZERO,
            make,
            log,
        })
    }

    fn put(&mut self, at: Micros, what: What) {
        self.queue.put(at, what);
    }

    fn begin(&mut self) -> Result<(), Failure> {
        for number in 0..self.experiment.nodes() {
            let zone = ZoneId(number % self.experiment.zones);
            self.nodes.push(Node { decides: None, life: 0, zone, noticed: START });
            self.start(GatewayId(number))?;
        }
        for customer in 0..self.clients.customers.len() {
            self.next_arrival(customer);
        }
        for (at, step) in self.experiment.timeline.steps.clone() {
            self.put(at, What::Step(step));
        }
        Ok(())
    }

    /// Starts a gateway, which knows the list it last had.
    fn start(&mut self, me: GatewayId) -> Result<(), Failure> {
        let zone = self.nodes[me.0 as usize].zone;
        let settings = Settings { gateway_id: me, zone, ..self.experiment.named.settings.clone() };
        let seed = self.rng.random();
        let decides = (self.make)(seed, settings, self.now);
        let decides = decides.map_err(|error| Failure::Senseless(format!("settings: {error}")))?;
        let node = &mut self.nodes[me.0 as usize];
        (node.decides, node.life) = (Some(decides), node.life + 1);
        self.post(me.0, self.discovery.known(me));
        let delay = self.discovery.delay();
        self.put(self.now + delay, What::Poll { node: me.0, asked: false });
        Ok(())
    }

    fn next_arrival(&mut self, customer: usize) {
        let end = START + self.experiment.span;
        let next = self.clients.next(self.now, customer).filter(|at| *at < end);
        next.into_iter().for_each(|at| self.put(at, What::Arrival(customer)));
    }

    fn happen(&mut self, what: What) -> Result<(), Failure> {
        let now = self.now;
        match what {
            What::Arrival(customer) => {
                let fresh = self.clients.fresh(now, customer);
                self.comes(fresh);
                self.next_arrival(customer);
            }
            What::Again(again) => self.comes(*again),
            What::Wake { node, life, token } => {
                if self.nodes[node as usize].life == life {
                    self.post(node, Event::TimerFired { token });
                }
            }
            What::Datagram { from, to, bytes } => {
                if self.nodes[to as usize].decides.is_some()
                    && self.datagrams.takes(now, GatewayId(to), bytes.len())
                {
                    self.post(to, Event::PeerMessage { from: GatewayId(from), bytes });
                }
            }
            What::Reaches { server, job } => {
                self.at_server(server, |server, out| server.arrive(now, job, out))
            }
            What::Done { server, serial } => {
                self.at_server(server, |server, out| server.done(now, serial, out))
            }
            What::CalledOff { server, no, attempt } => self.servers[server].call_off(no, attempt),
            What::Ends { no, attempt, outcome, load } => self.ends(no, attempt, outcome, load),
            What::Leaves(no) => {
                if self.referee.left(now, no) {
                    self.abandon(no);
                }
            }
            What::Overdue(no) => {
                if self.referee.overdue(now, no) {
                    self.abandon(no);
                }
            }
            What::Poll { node, asked } => self.poll(node, asked),
            What::CallFails { node, life } => {
                if self.nodes[node as usize].life == life {
                    self.post(node, Event::WatchFailed);
                }
            }
            What::Step(step) => self.step(step)?,
        }
        Ok(())
    }

    /// A client's try comes to the front, which leads it to a gateway.
    fn comes(&mut self, of: Try) {
        let (now, nodes) = (self.now, &self.nodes);
        let noticed = |node: GatewayId| {
            let node = &nodes[node.0 as usize];
            node.decides.is_none() && node.noticed <= now
        };
        let node = self.clients.gateway(now, &of, nodes.len() as u32, noticed);
        let Some(node) = node.filter(|node| nodes[node.0 as usize].decides.is_some()) else {
            self.referee.unreached(now, &of);
            return self.again(&of, Heard::Unreached);
        };
        let patience = self.clients.patience(now, &of);
        let no = self.referee.came(now, of.clone());
        let deadline = now + patience;
        self.put(deadline + ANSWER_GRACE, What::Overdue(no));
        of.leaves.filter(|at| *at < deadline).into_iter().for_each(|at| self.put(at, What::Leaves(no)));
        let customer = &self.clients.customers[of.customer];
        let event = Event::RequestReceived {
            id: no.id(),
            class: of.class,
            plan: customer.plan,
            customer: customer.id,
            units: of.units,
            gateways: GatewaySet { first: customer.first, count: customer.spread },
            client_timeout: patience,
        };
        let life = self.nodes[node.0 as usize].life;
        let open = Open { node: node.0, life, of, deadline, answered: false, attempts: Vec::new() };
        self.open.insert(no, open);
        self.post(node.0, event);
    }

    fn again(&mut self, of: &Try, heard: Heard) {
        if let Some((at, again)) = self.clients.again(self.now, of, heard) {
            self.put(at, What::Again(Box::new(again)));
        }
    }

    /// Nobody waits for a request any more.
    fn abandon(&mut self, no: RequestNo) {
        let Some(open) = self.open.get_mut(&no) else { return };
        open.answered = true;
        let (node, life) = (open.node, open.life);
        self.tidy(no);
        if self.nodes[node as usize].life == life {
            self.post(node, Event::ClientDisconnected { id: no.id() });
        }
    }

    /// Drops a request of which nothing is owed or out.
    fn tidy(&mut self, no: RequestNo) {
        if self.open.get(&no).is_some_and(|open| open.answered && !open.attempts.iter().any(|(_, out)| *out))
        {
            self.open.remove(&no);
        }
    }

    /// Gives a gateway an event and does what it asks for. No action makes an event at once.
    fn post(&mut self, node: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(decides) = &mut self.nodes[node as usize].decides {
            let begun = Instant::now();
            decides.handle(self.now, event, &mut actions);
            self.deciding += begun.elapsed();
        }
        actions.drain(..).for_each(|action| self.act(node, action));
        self.actions = actions;
    }

    fn act(&mut self, node: u32, action: Action) {
        let now = self.now;
        match action {
            Action::SendAttempt { id, server, timeout } => self.send(node, &id, server, timeout),
            Action::Reject { id, retry_after } => {
                let most = self.experiment.named.settings.permissions.max_retry_after;
                let advice = retry_after.zip(most).map(|(advice, most)| advice.min(most));
                self.answer(&id, Verdict::Refused, Heard::Refused(advice));
            }
            Action::Fail { id } => self.answer(&id, Verdict::Failed, Heard::Failed),
            Action::CancelAttempt { id, attempt } => {
                let Some(no) = RequestNo::read(&id) else { return };
                let out = self.open.get(&no).and_then(|open| open.attempts.get(attempt.0 as usize));
                let Some((server, true)) = out.copied() else { return };
                let way = self.way(node, server);
                self.put(now + way, What::CalledOff { server, no, attempt });
                self.put(now, What::Ends { no, attempt, outcome: AttemptOutcome::Cancelled, load: None });
            }
            Action::Broadcast { bytes } => {
                let others = (0..self.experiment.nodes()).filter(|other| *other != node);
                others.for_each(|other| self.tell(node, other, bytes.clone()));
            }
            Action::SendToPeer { to, bytes } => self.tell(node, to.0, bytes),
            Action::SetTimer { after, token } => {
                let life = self.nodes[node as usize].life;
                self.put(now + after, What::Wake { node, life, token });
            }
            Action::WatchEndpoints => self.put(now + ASKED, What::Poll { node, asked: true }),
            Action::Warn(line) => {
                let at = (now - START) as f64 / 1e6;
                (self.log)(&format!("{at:.3} s gateway {node}: {line}"));
            }
        }
    }

    fn tell(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        let Some(receiver) = self.nodes.get(to as usize) else { return };
        let zones = (self.nodes[from as usize].zone, receiver.zone);
        let cut = self.experiment.timeline.cuts.part(self.now, zones.0, zones.1);
        let at = self.datagrams.send(self.now, cut);
        at.into_iter().for_each(|at| self.put(at, What::Datagram { from, to, bytes: bytes.clone() }));
    }

    /// A gateway's final answer.
    fn answer(&mut self, id: &RequestId, verdict: Verdict, heard: Heard) {
        let no = RequestNo::read(id).unwrap_or(RequestNo(u64::MAX));
        if !self.referee.answered(self.now, no, verdict) {
            return;
        }
        let Some(open) = self.open.get_mut(&no) else { return };
        open.answered = true;
        let of = open.of.clone();
        self.tidy(no);
        self.again(&of, heard);
    }

    fn poll(&mut self, node: u32, asked: bool) {
        let Node { decides: Some(_), zone, life, .. } = self.nodes[node as usize] else { return };
        let cut = self.experiment.timeline.cuts.until(self.now, zone);
        match self.discovery.poll(self.now, GatewayId(node), cut, asked) {
            Told::Fails => self.put(self.now + CALL_FAILS, What::CallFails { node, life }),
            Told::Event(event) => self.post(node, event),
            Told::Later(at) => self.put(at, What::Poll { node, asked: false }),
            Told::Nothing => {}
        }
    }

    /// The list changes, and every gateway hears of it late.
    fn list(&mut self, entry: Endpoint) {
        self.discovery.publish(entry);
        for node in 0..self.experiment.nodes() {
            let delay = self.discovery.delay();
            self.put(self.now + delay, What::Poll { node, asked: false });
        }
    }

    fn step(&mut self, step: Step) -> Result<(), Failure> {
        let now = self.now;
        let place = |id: &ServerId| self.places.get(id).copied();
        match step {
            Step::Hang(id, until) => {
                place(&id).into_iter().for_each(|place| self.servers[place].hang(now, until));
            }
            Step::Slow(id, times) => {
                place(&id).into_iter().for_each(|place| self.servers[place].slow(times));
            }
            Step::Start(entry) => {
                let rules = self.experiment.named.settings.rules;
                let server = Server::new(&mut self.rng, entry, self.experiment.machine.clone(), rules);
                self.places.insert(entry.server, self.servers.len());
                self.servers.push(server);
                self.list(entry);
            }
            Step::Drain(id) => {
                if let Some(place) = place(&id) {
                    let entry = self.servers[place].entry;
                    self.list(Endpoint { state: EndpointState::Draining, ..entry });
                }
            }
            Step::Stop(id) => {
                if let Some(place) = place(&id) {
                    self.at_server(place, |server, out| server.stop(out));
                    let entry = self.servers[place].entry;
                    self.list(Endpoint { state: EndpointState::Gone, ..entry });
                }
            }
            Step::Restart(id) => {
                if let Some(place) = place(&id) {
                    self.servers[place].restart(now);
                    self.list(self.servers[place].entry);
                }
            }
            Step::Die(node) => {
                let noticed = now + self.rng.random_range(UNNOTICED);
                let of = &mut self.nodes[node.0 as usize];
                (of.decides, of.noticed, of.life) = (None, noticed, of.life + 1);
                let held = self.open.iter().filter(|(_, open)| open.node == node.0 && !open.answered);
                let held: Vec<_> = held.map(|(no, open)| (*no, open.of.clone())).collect();
                for (no, of) in held {
                    self.referee.died(now, no);
                    self.open.entry(no).and_modify(|open| open.answered = true);
                    self.tidy(no);
                    self.again(&of, Heard::Failed);
                }
            }
            Step::Return(node) => self.start(node)?,
        }
        Ok(())
    }
}
