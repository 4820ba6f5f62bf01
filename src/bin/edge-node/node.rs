//! Owns the decision module and all that it speaks of: the clock, the open requests and their attempts.
//! Only here is the module called; what it asks for is done in the order in which it asks.

use crate::endpoint_list::{EndpointEntry, EndpointHealth, EndpointList};
use crate::metrics::{Final, Metrics, Now};
use crate::peers::Peers;
use crate::upstream::{Ending, Forward, Upstream};
use bytes::Bytes;
use edge_node::settings::ResolvedSettings;
use edge_node::Gateway;
use edge_node::{
    Action, AttemptNumber, CellId, ClassId, Endpoint, EndpointState, EndpointUpdate, Event, Micros, PlanId,
    RequestId, ServerId, ZoneId,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// The final answer to a client's request.
#[derive(Debug)]
pub enum Answer {
    Served(Bytes),
    Refused(Option<Duration>),
    Failed,
}

impl Answer {
    fn word(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused(_) => "refused",
            Answer::Failed => "failed",
        }
    }

    fn outcome(&self) -> Final {
        match self {
            Answer::Served(_) => Final::Served,
            Answer::Refused(_) => Final::Refused,
            Answer::Failed => Final::Failed,
        }
    }
}

/// A request that has no final answer yet.
struct Pending {
    forward: Rc<Forward>,
    answer: oneshot::Sender<Answer>,
    attempts: u32,
    /// Of which class and plan, and when it was whole.
    kind: Option<(ClassId, PlanId)>,
    since: Instant,
}

/// Unix time in µs that never goes back: what discovery says of starts needs no conversion but of units.
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }
}

pub struct Node {
    pub named: ResolvedSettings,
    pub upstream: Upstream,
    pub peers: Option<Peers>,
    clock: Clock,
    gateway: RefCell<Gateway>,
    requests: RefCell<HashMap<RequestId, Pending>>,
    /// Attempts that are out, one of a request at the most; a word, or its loss, calls one off.
    out: RefCell<HashMap<RequestId, (AttemptNumber, oneshot::Sender<()>)>>,
    /// The watch on discovery was told to be lost, and no list has come since.
    lost: Cell<bool>,
    /// Number of the last list that discovery told, and when.
    list: Cell<Option<(u64, Instant)>>,
    /// Clients' connections that are open.
    clients: Rc<Cell<usize>>,
    /// Figures for operators, where they are asked for.
    metrics: Option<Rc<Metrics>>,
}

impl Node {
    pub fn new(
        seed: u64, named: ResolvedSettings, upstream: Upstream, peers: Option<Peers>,
        metrics: Option<Rc<Metrics>>,
    ) -> anyhow::Result<Rc<Node>> {
        let clock = Clock::start();
        let gateway = Gateway::new(seed, named.settings.clone(), clock.now())?;
        Ok(Rc::new(Node {
            named,
            upstream,
            peers,
            clock,
            gateway: RefCell::new(gateway),
            requests: RefCell::default(),
            out: RefCell::default(),
            lost: Cell::default(),
            list: Cell::default(),
            clients: Rc::default(),
            metrics,
        }))
    }

    /// Gives the module an event and does what it asks for. No action waits, and none makes an event at once:
    /// the module is never entered twice.
    pub fn post(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.gateway.borrow_mut().handle(self.clock.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.apply(action));
    }

    fn apply(self: &Rc<Self>, action: Action) {
        match action {
            Action::SendAttempt { id, server, timeout } => self.send(id, server, timeout),
            Action::Reject { id, retry_after } => {
                self.answer(&id, Answer::Refused(retry_after.map(Duration::from_micros)));
            }
            Action::Fail { id } => {
                self.answer(&id, Answer::Failed);
            }
            Action::CancelAttempt { id, attempt } => {
                // Dropping the sender is the word; the attempt closes its connection, then reports.
                let mut out = self.out.borrow_mut();
                if out.get(&id).is_some_and(|(number, _)| *number == attempt) {
                    out.remove(&id);
                }
            }
            Action::Broadcast { bytes } => self.peers.iter().for_each(|peers| peers.tell_all(&bytes)),
            Action::SendToPeer { to, bytes } => self.peers.iter().for_each(|peers| peers.tell(to, &bytes)),
            Action::SetTimer { after, token } => {
                let node = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(after)).await;
                    node.post(Event::TimerFired { token });
                });
            }
            Action::WatchEndpoints => {} // discovery is always followed
            Action::Warn(line) => warn!(event = "decision", "{line}"),
        }
    }

    /// Takes a request in. `None` if its id is in use: two owners of one id would mix up their answers.
    pub fn take(self: &Rc<Self>, event: Event, forward: Forward) -> Option<oneshot::Receiver<Answer>> {
        let (answer, answered) = oneshot::channel();
        let id = forward.id.clone();
        if self.is_open(&id) || self.out.borrow().contains_key(&id) {
            return None;
        }
        debug!(event = "request", id = %id.0, target = forward.target, "request {}: {}", id.0, forward.target);
        let kind = match &event {
            Event::RequestReceived { class, plan, .. } => Some((*class, *plan)),
            _ => None,
        };
        let pending = Pending { forward: Rc::new(forward), answer, attempts: 0, kind, since: Instant::now() };
        self.requests.borrow_mut().insert(id, pending);
        self.post(event);
        Some(answered)
    }

    /// Nobody waits for this request any more: its client is gone, or its time is up.
    pub fn abandon(self: &Rc<Self>, id: &RequestId) {
        let pending = self.requests.borrow_mut().remove(id);
        if let Some(pending) = pending {
            self.count(&pending, Final::Abandoned);
            debug!(event = "abandoned", id = %id.0, "request {}: nobody waits any more", id.0);
            self.post(Event::ClientDisconnected { id: id.clone() });
        }
    }

    /// Requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.requests.borrow().len()
    }

    fn is_open(&self, id: &RequestId) -> bool {
        self.requests.borrow().contains_key(id)
    }

    /// Answers a request, unless that has been done: the table entry is the right to answer.
    fn answer(&self, id: &RequestId, answer: Answer) {
        if let Some(pending) = self.requests.borrow_mut().remove(id) {
            debug!(event = "answer", id = %id.0, answer = answer.word(), "request {}: {}", id.0, answer.word());
            self.count(&pending, answer.outcome());
            // A client that has gone meanwhile takes no answer.
            let _ = pending.answer.send(answer);
        }
    }

    fn send(self: &Rc<Self>, id: RequestId, server: ServerId, timeout: Option<Micros>) {
        let (forward, attempt) = {
            let mut requests = self.requests.borrow_mut();
            // The module hears at once of each request that is answered or abandoned, and sends no such one.
            let Some(pending) = requests.get_mut(&id) else { return };
            pending.attempts += 1;
            (Rc::clone(&pending.forward), AttemptNumber(pending.attempts - 1))
        };
        debug!(event = "send", id = %id.0, attempt = attempt.0, server = server.0, "request {}: attempt {} to server {}", id.0, attempt.0, server.0);
        let limit = timeout.and_then(|span| Instant::now().checked_add(Duration::from_micros(span)));
        let until = limit.map_or(forward.deadline, |limit| limit.min(forward.deadline));
        let (call_off, called_off) = oneshot::channel();
        self.out.borrow_mut().insert(id.clone(), (attempt, call_off));
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let open = || node.is_open(&id);
            let ending = node.upstream.attempt(&forward, server, until, called_off, open).await;
            node.ended(id, attempt, ending);
        });
    }

    /// The connection of the attempt is closed or free again by now, so that no two attempts are ever out.
    fn ended(self: &Rc<Self>, id: RequestId, attempt: AttemptNumber, ending: Ending) {
        let Ending { outcome, body, load } = ending;
        debug!(event = "ended", id = %id.0, attempt = attempt.0, ?outcome, "request {}: attempt {} ended, {outcome:?}", id.0, attempt.0);
        self.metrics.iter().for_each(|metrics| metrics.attempt(outcome));
        self.out.borrow_mut().remove(&id);
        if let Some(body) = body {
            self.answer(&id, Answer::Served(body));
        }
        let closed = !self.is_open(&id);
        self.post(Event::AttemptFinished { id, attempt, outcome, closed, reported_load: load });
    }

    /// Follows discovery: the addresses first, so that nothing waiting for a connection goes to who left.
    pub fn listed(self: &Rc<Self>, kind: EndpointUpdate, hosts: &[EndpointEntry]) {
        let zones = &self.named.zone_names;
        let zone = |name: &String| match zones.iter().position(|zone| zone == name) {
            Some(place) => place as u32,
            // Where there are no zones, nothing crosses them.
            None if zones.is_empty() => 0,
            None => u32::MAX,
        };
        let entries = hosts.iter().map(|host| Endpoint {
            server: server_id(&host.name),
            zone: ZoneId(zone(&host.zone)),
            cell: CellId(host.cell),
            state: match host.health {
                EndpointHealth::Ready => EndpointState::Ready,
                EndpointHealth::Draining => EndpointState::Draining,
                EndpointHealth::Gone => EndpointState::Gone,
            },
            weight: host.weight,
            started_at: (host.started_at_ms > 0).then_some(host.started_at_ms.saturating_mul(1000)),
        });
        let entries = entries.collect();
        let ready = |host: &EndpointEntry| host.address.filter(|_| host.health == EndpointHealth::Ready);
        let dials = hosts.iter().map(|host| (server_id(&host.name), ready(host)));
        self.upstream.listed(kind == EndpointUpdate::Snapshot, dials);
        self.post(Event::EndpointsUpdated { kind, endpoints: entries });
    }
}

impl Node {
    /// A list from discovery has been applied.
    pub fn list_came(&self, list: &EndpointList) {
        let (seq, entries) = (list.sequence, list.entries.readable.len());
        self.list.set(Some((seq, Instant::now())));
        if self.lost.take() {
            info!(event = "watch_back", seq, "discovery: the watch is back");
        }
        let what = if list.is_snapshot { "the whole list" } else { "changes" };
        info!(
            event = "list",
            seq,
            entries,
            whole = list.is_snapshot,
            "list {seq} applied: {what}, {entries} entries"
        );
    }

    /// A client's connection could not be accepted, and waits.
    pub fn not_accepted(&self, error: &std::io::Error) {
        warn!(event = "not_accepted", cause = %error, "a connection was not accepted: {error}");
    }

    /// A watch on discovery has ended.
    pub fn watch_ended(&self) {
        if let Some(metrics) = &self.metrics {
            metrics.watch_resets.inc();
        }
    }

    /// A watch on discovery has ended, and its trouble is a new one.
    pub fn watch_lost(&self, address: SocketAddr, error: &anyhow::Error) {
        self.lost.set(true);
        warn!(event = "watch_lost", %address, cause = %format_args!("{error:#}"), "discovery: {error:#}");
    }
}

/// Counts one for as long as it lives.
pub struct Counted(Rc<Cell<usize>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Node {
    fn count(&self, pending: &Pending, outcome: Final) {
        if let (Some(metrics), Some((class, plan))) = (&self.metrics, pending.kind) {
            metrics.request(class, plan, outcome, pending.since.elapsed());
        }
    }

    /// A client has connected, and stays for as long as this is kept.
    pub fn connected(&self) -> Counted {
        self.clients.set(self.clients.get() + 1);
        Counted(Rc::clone(&self.clients))
    }

    /// What there is at this moment.
    pub fn now(&self) -> Now {
        let (datagrams_sent, datagrams_received) = self.peers.as_ref().map_or((0, 0), Peers::counted);
        let list = self.list.get();
        Now {
            open_requests: self.open(),
            client_connections: self.clients.get(),
            server_connections: self.upstream.open_sockets(),
            // The folder that is read is open itself.
            descriptors: std::fs::read_dir("/proc/self/fd").map_or(0, |fds| fds.count().saturating_sub(1)),
            servers_ready: self.upstream.known(),
            kept: self.gateway.borrow().tracked_entries(),
            list_age: list.map(|(_, since)| since.elapsed()),
            list_sequence: list.map_or(0, |(seq, _)| seq),
            datagrams_sent,
            datagrams_received,
        }
    }

    pub fn is_watch_lost(&self) -> bool {
        self.lost.get()
    }

    /// The open requests that came first, with their age and attempts.
    pub fn oldest(&self, most: usize) -> Vec<(RequestId, Duration, u32)> {
        let requests = self.requests.borrow();
        let mut all: Vec<_> = requests.iter().collect();
        all.sort_by_key(|(_, pending)| pending.since);
        let shown = all.into_iter().take(most);
        shown.map(|(id, pending)| (id.clone(), pending.since.elapsed(), pending.attempts)).collect()
    }
}

/// A server's id, the same at every edge node: FNV-1a of its name.
fn server_id(host: &str) -> ServerId {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    ServerId(host.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}
