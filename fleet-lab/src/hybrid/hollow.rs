//! A hollow node: the decision module with the lab for its sockets. It meets clients and servers by calls and
//! other nodes, real ones too, by datagrams.

use super::ledger::Answer;
use super::scenario::{Wish, DEADLINE};
use super::servers::{Reply, Status};
use super::world::World;
use anyhow::{Context, Result};
use edge_node::Gateway;
use edge_node::{
    Action, AttemptNumber, AttemptOutcome, ClassId, EndpointUpdate, Event, GatewayId, GatewaySet, Micros,
    RequestId, ServerId,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A try that its client waits for.
struct Open {
    word: oneshot::Sender<Answer>,
    attempts: u32,
}

/// One hollow node.
pub struct Hollow {
    number: GatewayId,
    world: Rc<World>,
    gateway: RefCell<Gateway>,
    open: RefCell<HashMap<RequestId, Open>>,
    /// Dropping it calls the attempt off.
    out: RefCell<HashMap<(RequestId, AttemptNumber), oneshot::Sender<()>>>,
    /// Time spent deciding.
    spent: Cell<Duration>,
}

impl Hollow {
    /// Starts one, which hears of the servers and of its peers from now on.
    pub fn start(world: &Rc<World>, number: GatewayId, seed: u64) -> Result<Rc<Hollow>> {
        let settings = world.scene.settings(number).to_string();
        let named = edge_node::settings::parse(&settings).context("settings")?;
        let gateway = Gateway::new(seed, named.settings, world.clock.now()).context("settings")?;
        let node = Rc::new(Hollow {
            number,
            world: Rc::clone(world),
            gateway: RefCell::new(gateway),
            open: RefCell::default(),
            out: RefCell::default(),
            spent: Cell::default(),
        });
        tokio::task::spawn_local(Rc::clone(&node).follow());
        tokio::task::spawn_local(Rc::clone(&node).hear());
        Ok(node)
    }

    /// How long the module has decided, in all.
    pub fn spent(&self) -> Duration {
        self.spent.get()
    }

    async fn follow(self: Rc<Self>) {
        let mut changes = self.world.roster.follow();
        let mut told = 0;
        loop {
            let version = *changes.borrow_and_update();
            let kind = if told == 0 { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
            let entries = self.world.roster.since(told);
            told = version;
            self.world.tell(self.world.clock.now(), self.number, &entries);
            self.post(Event::EndpointsUpdated { kind, endpoints: entries });
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    async fn hear(self: Rc<Self>) {
        loop {
            if let Some((from, bytes)) = self.world.datagrams.next(self.number).await {
                self.post(Event::PeerMessage { from, bytes });
            }
        }
    }

    fn post(self: &Rc<Self>, event: Event) {
        let (now, mut actions) = (self.world.clock.now(), Vec::new());
        let began = Instant::now();
        self.gateway.borrow_mut().handle(now, event, &mut actions);
        self.spent.set(self.spent.get() + began.elapsed());
        actions.into_iter().for_each(|action| self.act(action));
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::SendAttempt { id, server, .. } => self.send(id, server),
            Action::Reject { id, .. } => self.say(&id, Answer::Refused),
            Action::Fail { id } => self.say(&id, Answer::Failed),
            Action::CancelAttempt { id, attempt } => drop(self.out.borrow_mut().remove(&(id, attempt))),
            Action::Broadcast { bytes } => self.world.datagrams.tell_all(self.number, &bytes),
            Action::SendToPeer { to, bytes } => self.world.datagrams.tell(self.number, to, &bytes),
            Action::SetTimer { after, token } => {
                let node = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(after)).await;
                    node.post(Event::TimerFired { token });
                });
            }
            // The list comes by itself.
            Action::WatchEndpoints | Action::Warn(_) => {}
        }
    }

    /// A final answer. Danger: a second one that nobody sees, as its client has the first: each is counted.
    fn say(&self, id: &RequestId, answer: Answer) {
        self.world.ledger.borrow_mut().answered(self.world.clock.now(), &id.0, answer);
        if let Some(open) = self.open.borrow_mut().remove(id) {
            // The client may have left.
            let _ = open.word.send(answer);
        }
    }

    /// A client's try, to its final answer; `None` where none came in time, and nobody waits any more.
    pub async fn ask(self: &Rc<Self>, id: &RequestId, wish: &Wish, until: Micros) -> Option<Answer> {
        let (word, told) = oneshot::channel();
        self.open.borrow_mut().insert(id.clone(), Open { word, attempts: 0 });
        self.post(Event::RequestReceived {
            id: id.clone(),
            class: ClassId(wish.class),
            plan: wish.customer.plan,
            customer: wish.customer.id,
            units: f64::from(wish.units),
            gateways: GatewaySet { first: wish.customer.first, count: wish.customer.spread },
            client_timeout: DEADLINE,
        });
        let left = Duration::from_micros(until.saturating_sub(self.world.clock.now()));
        let answer = tokio::time::timeout(left, told).await.ok().and_then(Result::ok);
        if answer.is_none() {
            self.open.borrow_mut().remove(id);
            self.post(Event::ClientDisconnected { id: id.clone() });
        }
        answer
    }

    fn send(self: &Rc<Self>, id: RequestId, server: ServerId) {
        let attempt = {
            let mut open = self.open.borrow_mut();
            let Some(open) = open.get_mut(&id) else { return };
            open.attempts += 1;
            AttemptNumber(open.attempts - 1)
        };
        let (call_off, called_off) = oneshot::channel();
        self.out.borrow_mut().insert((id.clone(), attempt), call_off);
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let reply = tokio::select! {
                biased;
                reply = node.attempt(&id, server) => reply,
                _ = called_off => None,
            };
            node.ended(id, attempt, reply);
        });
    }

    /// The answer of a server; never, where there is no such server or it answers none.
    async fn attempt(&self, id: &RequestId, server: ServerId) -> Option<Reply> {
        let world = &self.world;
        let server = world.servers.iter().find(|other| other.id == server)?;
        world.ledger.borrow_mut().arrived(world.clock.now(), &id.0, server.id)?;
        Some(server.attempt(world, &id.0).await)
    }

    fn ended(self: &Rc<Self>, id: RequestId, attempt: AttemptNumber, reply: Option<Reply>) {
        self.out.borrow_mut().remove(&(id.clone(), attempt));
        let outcome = match reply.map(|reply| reply.status) {
            Some(Status::Done) => AttemptOutcome::Success,
            Some(Status::Error) => AttemptOutcome::ServerError,
            Some(Status::NotRun) => AttemptOutcome::Overloaded,
            None => AttemptOutcome::Cancelled,
        };
        // An answer that comes after the last word goes to nobody.
        if outcome == AttemptOutcome::Success && self.open.borrow().contains_key(&id) {
            self.say(&id, Answer::Served);
        }
        let closed = !self.open.borrow().contains_key(&id);
        let load = reply.map(|reply| reply.holds as f64);
        self.post(Event::AttemptFinished { id, attempt, outcome, closed, reported_load: load });
    }
}
