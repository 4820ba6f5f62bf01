//! The state that all parts of a run share: clock, servers, network between nodes and the record of
//! requests.

use super::datagrams::Datagrams;
use super::endpoint_registry::EndpointRegistry;
use super::invariant_checker::SocketInvariantChecker;
use super::nodes::{bind_listener, ReservedPorts};
use super::scenario::{Scenario, DRAIN_GRACE};
use super::server_http;
use super::servers::Server;
use anyhow::Result;
use gateway_core::{Endpoint, GatewayId, Timestamp};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;

/// A monotonic clock that shows Unix time, since real and hollow nodes exchange timestamps. The
/// simulation needs no clock, because its time is the time of the event that is handled.
pub(super) struct Clock {
    started: Instant,
    /// Unix time when the clock started.
    unix_start: Timestamp,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub(super) fn start() -> Clock {
        let unix_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_start: Timestamp::EPOCH + unix_start,
        }
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Timestamp {
        self.unix_start + self.started.elapsed()
    }
}

/// The environment of all nodes of one run.
pub(super) struct Environment {
    /// Clock of the clients, the servers and the hollow nodes.
    pub(super) clock: Clock,
    /// Customers, their quotas and their demand.
    pub(super) scenario: Scenario,
    /// Records of all requests, on which the invariants are checked.
    pub(super) checker: RefCell<SocketInvariantChecker>,
    /// Simulated servers, by index.
    pub(super) servers: Vec<Server>,
    /// List of servers that discovery serves.
    pub(super) registry: EndpointRegistry,
    /// Messages between nodes.
    pub(super) datagrams: Datagrams,
}

impl Environment {
    /// Starts the servers and the network between the nodes.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub(super) async fn start(
        scenario: Scenario,
        seed: u64,
        ports: &ReservedPorts,
    ) -> Result<Rc<Environment>> {
        let clock = Clock::start();
        let servers = Server::all(scenario.server_slots(), seed);
        let registry = EndpointRegistry::new();
        let listeners = register_servers(&servers, &registry).await?;
        let fleet_size = scenario.size().fleet_size as usize;
        let datagrams = Datagrams::bind(&ports.addresses()?, fleet_size).await?;
        let checker =
            SocketInvariantChecker::new(clock.now(), DRAIN_GRACE, scenario.customer_quotas());
        let environment = Rc::new(Environment {
            clock,
            scenario,
            checker: RefCell::new(checker),
            servers,
            registry,
            datagrams,
        });
        environment.spawn_tasks(listeners);
        Ok(environment)
    }

    /// Spawns the tasks that serve the servers' connections and count messages to nodes that do not
    /// run.
    fn spawn_tasks(self: &Rc<Self>, listeners: Vec<TcpListener>) {
        for (server, listener) in listeners.into_iter().enumerate() {
            tokio::task::spawn_local(server_http::serve(Rc::clone(self), server, listener));
        }
        let environment = Rc::clone(self);
        tokio::task::spawn_local(async move { environment.datagrams.count_undeliverable().await });
    }

    /// Records that a node has received the given entries of the list now.
    pub(super) fn record_update(&self, node: GatewayId, endpoints: &[Endpoint]) {
        let now = self.clock.now();
        let mut checker = self.checker.borrow_mut();
        for endpoint in endpoints {
            checker.endpoint_received(now, node, endpoint.server, endpoint.state);
        }
    }
}

/// Binds a port for each server and adds the server to the list.
async fn register_servers(
    servers: &[Server],
    registry: &EndpointRegistry,
) -> Result<Vec<TcpListener>> {
    let mut listeners = Vec::new();
    for server in servers {
        let listener = bind_listener().await?;
        registry.add(server.name.clone(), server.id, listener.local_addr()?);
        listeners.push(listener);
    }
    Ok(listeners)
}
