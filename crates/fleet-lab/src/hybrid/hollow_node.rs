//! A hollow node: the decision library without a process of its own. A hollow node exchanges
//! requests with clients and attempts with servers by function calls, and messages with other
//! nodes, including real nodes, by datagrams.

use super::customers::PlannedRequest;
use super::environment::Environment;
use super::observed_request::ReceivedAnswer;
use super::scenario::CLIENT_TIMEOUT;
use super::servers::{AttemptReply, AttemptStatus};
use crate::world::final_answer::FinalAnswer;
use anyhow::{Context, Result};
use gateway_core::{
    Action, AttemptNumber, AttemptOutcome, ClassId, EndpointUpdate, Event, Gateway, GatewayId,
    GatewaySet, RequestId, ServerId, Timestamp, Units,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A request whose client is waiting for the final answer.
struct OpenRequest {
    answer: oneshot::Sender<FinalAnswer>,
    attempts: u32,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct AttemptKey {
    id: RequestId,
    attempt: AttemptNumber,
}

/// A running hollow node: a decision library without the edge node's process and sockets.
pub(super) struct HollowNode {
    id: GatewayId,
    environment: Rc<Environment>,
    gateway: RefCell<Gateway>,
    open_requests: RefCell<HashMap<RequestId, OpenRequest>>,
    /// Attempts in flight; dropping a sender cancels its attempt.
    in_flight: RefCell<HashMap<AttemptKey, oneshot::Sender<()>>>,
    decision_time: Cell<Duration>,
}

impl HollowNode {
    /// Starts a node, which from then on receives the list of servers and the messages of its
    /// peers.
    pub(super) fn start(
        environment: &Rc<Environment>,
        id: GatewayId,
        seed: u64,
    ) -> Result<Rc<HollowNode>> {
        let settings = environment.scenario.settings(id).to_string();
        let resolved = gateway_core::settings::parse(&settings).context("invalid settings")?;
        let gateway = Gateway::new(seed, resolved.settings, environment.clock.now())
            .context("invalid settings")?;
        let node = Rc::new(HollowNode {
            id,
            environment: Rc::clone(environment),
            gateway: RefCell::new(gateway),
            open_requests: RefCell::default(),
            in_flight: RefCell::default(),
            decision_time: Cell::default(),
        });
        tokio::task::spawn_local(Rc::clone(&node).watch_endpoints());
        tokio::task::spawn_local(Rc::clone(&node).receive_messages());
        Ok(node)
    }

    /// Returns the time spent inside the decision library so far.
    pub(super) fn decision_time(&self) -> Duration {
        self.decision_time.get()
    }

    async fn watch_endpoints(self: Rc<Self>) {
        let mut versions = self.environment.registry.subscribe();
        let mut received_version = 0;
        loop {
            let version = *versions.borrow_and_update();
            let kind = if received_version == 0 {
                EndpointUpdate::Snapshot
            } else {
                EndpointUpdate::Delta
            };
            let endpoints = self.environment.registry.changes_since(received_version);
            received_version = version;
            self.environment.record_update(self.id, &endpoints);
            self.handle_event(Event::EndpointsUpdated { kind, endpoints });
            if versions.changed().await.is_err() {
                return;
            }
        }
    }

    async fn receive_messages(self: Rc<Self>) {
        loop {
            if let Some(message) = self.environment.datagrams.receive(self.id).await {
                self.handle_event(Event::PeerMessage {
                    from: message.from,
                    bytes: message.bytes,
                });
            }
        }
    }

    /// Passes an event to the decision library and executes the resulting actions.
    fn handle_event(self: &Rc<Self>, event: Event) {
        let now = self.environment.clock.now();
        let mut actions = Vec::new();
        let started = Instant::now();
        self.gateway.borrow_mut().handle(now, event, &mut actions);
        self.decision_time
            .set(self.decision_time.get() + started.elapsed());
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::SendAttempt { id, server, .. } => self.send_attempt(id, server),
            Action::Reject { id, .. } => self.answer(&id, FinalAnswer::Rejected),
            Action::Fail { id } => self.answer(&id, FinalAnswer::Failed),
            Action::CancelAttempt { id, attempt } => {
                self.in_flight
                    .borrow_mut()
                    .remove(&AttemptKey { id, attempt });
            }
            Action::Broadcast { bytes } => self.environment.datagrams.broadcast(self.id, &bytes),
            Action::SendToPeer { to, bytes } => {
                self.environment.datagrams.send(self.id, to, &bytes);
            }
            Action::SetTimer { after, token } => {
                let node = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(after).await;
                    node.handle_event(Event::TimerFired { token });
                });
            }
            // A hollow node watches the list from its start on, and its warnings are not shown.
            Action::WatchEndpoints | Action::Warn(_) => {}
        }
    }

    /// Records a final answer with the invariant checker, and sends it to the client. A second
    /// answer cannot reach the client, which has stopped waiting, but is recorded as well, so that
    /// the invariant checker detects it.
    fn answer(&self, id: &RequestId, answer: FinalAnswer) {
        let now = self.environment.clock.now();
        self.environment
            .checker
            .borrow_mut()
            .answered(now, &id.0, ReceivedAnswer::Genuine(answer));
        if let Some(open) = self.open_requests.borrow_mut().remove(id) {
            // The client may have disconnected.
            let _ = open.answer.send(answer);
        }
    }

    /// Handles a client's request until its final answer. Returns `None` if the client gives up at
    /// `give_up_at` without an answer.
    pub(super) async fn request(
        self: &Rc<Self>,
        id: &RequestId,
        request: &PlannedRequest,
        give_up_at: Timestamp,
    ) -> Option<FinalAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.open_requests.borrow_mut().insert(
            id.clone(),
            OpenRequest {
                answer: sender,
                attempts: 0,
            },
        );
        self.handle_event(request_event(id, request));
        let time_left = give_up_at.duration_since(self.environment.clock.now());
        let answer = tokio::time::timeout(time_left, receiver)
            .await
            .ok()
            .and_then(Result::ok);
        if answer.is_none() {
            self.open_requests.borrow_mut().remove(id);
            self.handle_event(Event::ClientDisconnected { id: id.clone() });
        }
        answer
    }

    fn send_attempt(self: &Rc<Self>, id: RequestId, server: ServerId) {
        let Some(attempt) = self.next_attempt(&id) else {
            return;
        };
        let (cancel, cancelled) = oneshot::channel();
        self.in_flight.borrow_mut().insert(
            AttemptKey {
                id: id.clone(),
                attempt,
            },
            cancel,
        );
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let reply = tokio::select! {
                biased;
                reply = node.call_server(&id, server) => reply,
                _ = cancelled => None,
            };
            node.finish_attempt(id, attempt, reply);
        });
    }

    /// Returns the number of a request's next attempt; `None` if the request is not open.
    fn next_attempt(&self, id: &RequestId) -> Option<AttemptNumber> {
        let mut open_requests = self.open_requests.borrow_mut();
        let open = open_requests.get_mut(id)?;
        let attempt = AttemptNumber(open.attempts);
        open.attempts += 1;
        Some(attempt)
    }

    /// Sends an attempt to a server and returns the server's reply; `None` if the server or the
    /// request is unknown.
    async fn call_server(&self, id: &RequestId, server: ServerId) -> Option<AttemptReply> {
        let environment = &self.environment;
        let server = environment
            .servers
            .iter()
            .find(|other| other.id == server)?;
        environment.checker.borrow_mut().attempt_arrived(
            environment.clock.now(),
            &id.0,
            server.id,
        )?;
        Some(server.handle_attempt(&environment.checker, &id.0).await)
    }

    fn finish_attempt(
        self: &Rc<Self>,
        id: RequestId,
        attempt: AttemptNumber,
        reply: Option<AttemptReply>,
    ) {
        self.in_flight.borrow_mut().remove(&AttemptKey {
            id: id.clone(),
            attempt,
        });
        let outcome = match reply.map(|reply| reply.status) {
            Some(AttemptStatus::Served) => AttemptOutcome::Success,
            Some(AttemptStatus::Error) => AttemptOutcome::ServerError,
            Some(AttemptStatus::Rejected) => AttemptOutcome::Overloaded,
            None => AttemptOutcome::Cancelled,
        };
        // A server's answer that arrives after the final answer is discarded.
        if outcome == AttemptOutcome::Success && self.open_requests.borrow().contains_key(&id) {
            self.answer(&id, FinalAnswer::Served);
        }
        let closed = !self.open_requests.borrow().contains_key(&id);
        let reported_load = reply.map(|reply| reply.in_flight as f64);
        self.handle_event(Event::AttemptFinished {
            id,
            attempt,
            outcome,
            closed,
            reported_load,
        });
    }
}

fn request_event(id: &RequestId, request: &PlannedRequest) -> Event {
    let customer = request.customer;
    Event::RequestReceived {
        id: id.clone(),
        class: ClassId(request.class),
        plan: customer.plan,
        customer: customer.id,
        units: Units::new(f64::from(request.units)),
        gateways: GatewaySet {
            first: customer.first_node,
            count: customer.node_count,
        },
        client_timeout: CLIENT_TIMEOUT,
    }
}
