//! The node: owner of the decision library, its clock, and the tables of open requests and attempts
//! in flight.
//!
//! Only [`Node::handle_event`] passes events to the decision library. It executes the returned
//! actions in their order. All tasks run on one thread and share the node as an `Rc`; no `RefCell`
//! is borrowed across an `await`.

mod attempts;
mod clock;
mod endpoints;
mod executed_requests;
mod peer_messages;
mod pending_requests;
mod process;
mod requests;
mod start_times;
mod status;

pub(crate) use peer_messages::receive_peer_messages;
pub(crate) use pending_requests::Answer;

use crate::body::BodyBudget;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::upstream::Upstream;
use attempts::InFlightAttempts;
use clock::Clock;
use endpoints::WatchStatus;
use executed_requests::ExecutedRequests;
use gateway_core::settings::{ResolvedSettings, SettingsError};
use gateway_core::{Action, CustomerLimit, Event, Gateway};
use pending_requests::PendingRequests;
use start_times::StartTimes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// The arguments of [`Node::new`].
pub(crate) struct NodeParts {
    /// Seed of the decision library's random number generator.
    pub(crate) seed: u64,
    /// The settings, with the names of classes, plans and zones.
    pub(crate) settings: ResolvedSettings,
    /// Memory for the bodies of requests.
    pub(crate) request_bodies: BodyBudget,
    /// Memory of the long heads of requests, and of what is read ahead behind open requests.
    pub(crate) head_memory: MemoryBudget,
    /// Limit on the customers whose state the decision library keeps.
    pub(crate) customer_limit: CustomerLimit,
    /// Connections to servers.
    pub(crate) upstream: Upstream,
    /// Socket for messages to and from other edge nodes; `None` if no peers are configured.
    pub(crate) peers: Option<Peers>,
    /// Metrics for operators; `None` if no admin listener is configured.
    pub(crate) metrics: Option<Rc<Metrics>>,
}

/// The owner of the decision library, and of the requests, attempts and connections that its events
/// and actions refer to.
pub(crate) struct Node {
    /// The settings, with the names of classes, plans and zones.
    pub(crate) settings: ResolvedSettings,
    /// Memory for the bodies of requests.
    pub(crate) request_bodies: BodyBudget,
    /// Memory of the long heads of requests, and of what is read ahead behind open requests.
    pub(crate) head_memory: MemoryBudget,
    /// Connections to servers.
    pub(crate) upstream: Upstream,
    peers: Option<Peers>,
    metrics: Option<Rc<Metrics>>,
    clock: Clock,
    gateway: RefCell<Gateway>,
    requests: PendingRequests,
    attempts: InFlightAttempts,
    executed: ExecutedRequests,
    watch: WatchStatus,
    start_times: StartTimes,
    client_connections: Rc<Cell<usize>>,
    answer_limit: Cell<Option<Instant>>,
}

impl Node {
    /// Creates a node and starts its clock.
    ///
    /// # Errors
    /// Returns an error if the settings contradict each other.
    pub(crate) fn new(parts: NodeParts) -> Result<Rc<Node>, SettingsError> {
        let clock = Clock::start();
        let mut gateway = Gateway::new(parts.seed, parts.settings.settings.clone(), clock.now())?;
        gateway.set_customer_limit(parts.customer_limit);
        Ok(Rc::new(Node {
            settings: parts.settings,
            request_bodies: parts.request_bodies,
            head_memory: parts.head_memory,
            upstream: parts.upstream,
            peers: parts.peers,
            metrics: parts.metrics,
            clock,
            gateway: RefCell::new(gateway),
            requests: PendingRequests::default(),
            attempts: InFlightAttempts::default(),
            executed: ExecutedRequests::default(),
            watch: WatchStatus::default(),
            start_times: StartTimes::default(),
            client_connections: Rc::default(),
            answer_limit: Cell::default(),
        }))
    }

    /// Passes an event to the decision library and executes the returned actions.
    ///
    /// Executing an action neither waits nor dispatches another event, so calls of the decision
    /// library never nest.
    pub(crate) fn handle_event(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.gateway
            .borrow_mut()
            .handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::SendAttempt {
                id,
                server,
                timeout,
                write_deadline,
            } => self.start_attempt(id, server, timeout, write_deadline),
            Action::Reject { id, retry_after } => self.reject_request(&id, retry_after),
            Action::Fail { id } => self.answer_request(&id, Answer::Failed),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(&id, attempt),
            Action::Broadcast { bytes } => self.broadcast(&bytes),
            Action::SendToPeer { to, bytes } => self.send_to_peer(to, &bytes),
            Action::SetTimer { after, token } => self.set_timer(after, token),
            // Nothing to do: the watch on discovery is opened at startup.
            Action::WatchEndpoints => {}
            Action::Warn(warning) => warn!(event = "policy_warning", "{warning}"),
        }
    }

    /// Dispatches [`Event::TimerFired`] with `token` once `after` has elapsed. A timer can't be
    /// stopped: its task ends when the timer fires, or with the process.
    fn set_timer(self: &Rc<Self>, after: Duration, token: u64) {
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(after).await;
            node.handle_event(Event::TimerFired { token });
        });
    }
}
