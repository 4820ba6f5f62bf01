//! Connections to servers, and the attempts that use them.
//!
//! [`Upstream`] applies updates of the endpoint list and makes attempts. Its modules: `attempt`
//! makes one attempt, `response` reads and validates a response, `pool` and `connection` keep
//! connections open between requests, `connect_error` classifies failures to connect, `instance`
//! tells the processes at one address apart, `socket` counts
//! open sockets, and `surplus` classifies what a server sends beyond a response.

mod attempt;
mod attempt_result;
mod connect_error;
mod connection;
mod instance;
mod pool;
mod response;
mod socket;
mod surplus;

pub(crate) use attempt::{Attempt, UpstreamRequest};
pub(crate) use attempt_result::AttemptResult;
pub(crate) use instance::{ServerEndpoint, ServerInstance};

use crate::body::BodyBudget;
use crate::memory::MemoryBudget;
use connect_error::ConnectError;
use connection::PooledConnection;
use gateway_core::{EndpointUpdate, ServerId};
use instance::displaced_servers;
use pool::ServerPool;
use socket::OpenSockets;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Fraction of the servers' idle timeout after which this node closes an idle connection. The node
/// has to close it before the server does: a request that is written while the server closes the
/// connection ends with a reset and may have been executed.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Interval between evictions of idle connections.
const EVICTION_INTERVAL: Duration = Duration::from_millis(500);

/// The ready servers and the connections to them.
pub(crate) struct Upstream {
    /// Memory for the bodies of responses.
    response_bodies: BodyBudget,
    /// Memory of the long heads of responses, and of what is written of the long heads of requests.
    head_memory: MemoryBudget,
    pools: RefCell<HashMap<ServerId, ServerPool>>,
    open_sockets: OpenSockets,
    max_sockets: usize,
    /// Time after which this node closes an idle connection: [`IDLE_TIMEOUT_FRACTION`] of the
    /// servers' own idle timeout.
    idle_timeout: Duration,
    connect_timeout: Duration,
}

impl Upstream {
    /// Creates an upstream without servers. At most `max_sockets` connections may be open at a
    /// time; `connection_idle_timeout` is the time after which a server closes an idle connection.
    pub(crate) fn new(
        response_bodies: BodyBudget,
        head_memory: MemoryBudget,
        max_sockets: usize,
        connection_idle_timeout: Duration,
        connect_timeout: Duration,
    ) -> Upstream {
        Upstream {
            response_bodies,
            head_memory,
            pools: RefCell::default(),
            open_sockets: OpenSockets::default(),
            max_sockets,
            idle_timeout: connection_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
            connect_timeout,
        }
    }

    /// Returns the number of sockets to servers that are open or being opened.
    pub(crate) fn open_sockets(&self) -> usize {
        self.open_sockets.count()
    }

    /// Returns the memory that the bodies of responses hold, in bytes.
    pub(crate) fn response_body_bytes(&self) -> usize {
        self.response_bodies.reserved_bytes()
    }

    pub(crate) fn ready_servers(&self) -> usize {
        self.pools.borrow().len()
    }

    /// Applies an update of the endpoint list. The idle connections of a server are closed if the
    /// server is no longer ready, has restarted, has a new address, or is missing from a snapshot; its
    /// connections in use are closed when their attempts end.
    pub(crate) fn update_endpoints(
        &self,
        kind: EndpointUpdate,
        endpoints: impl Iterator<Item = ServerEndpoint>,
    ) {
        let mut pools = self.pools.borrow_mut();
        let mut previous = match kind {
            EndpointUpdate::Snapshot => std::mem::take(&mut *pools),
            EndpointUpdate::Delta => HashMap::new(),
        };
        for ServerEndpoint { server, instance } in endpoints {
            let existing = previous.remove(&server).or_else(|| pools.remove(&server));
            if let Some(pool) = updated_pool(existing, instance) {
                pools.insert(server, pool);
            }
        }
        for pool in previous.into_values() {
            pool.close_idle();
        }
    }

    /// Closes connections that have been idle for too long, at regular intervals. Never returns.
    /// The future may be dropped at any time, because it neither borrows the pools nor holds a
    /// connection while it waits.
    pub(crate) async fn evict_idle_connections(&self) {
        loop {
            tokio::time::sleep(EVICTION_INTERVAL).await;
            for pool in self.pools.borrow_mut().values_mut() {
                pool.evict_expired(self.idle_timeout);
            }
        }
    }

    /// Returns the servers whose address belongs to another server with an update of the endpoint
    /// list. `named` contains all servers of the update, and `listed` the processes among them.
    pub(crate) fn displaced_servers(
        &self,
        kind: EndpointUpdate,
        named: &HashSet<ServerId>,
        listed: &[(ServerId, ServerInstance)],
    ) -> Vec<ServerId> {
        let pools = self.pools.borrow();
        let stays = |server: &ServerId| kind == EndpointUpdate::Delta && !named.contains(server);
        let known = pools
            .iter()
            .filter(|(server, _)| stays(server))
            .map(|(server, pool)| (*server, pool.instance()));
        displaced_servers(listed, known)
    }

    /// Returns whether a connection leads to the current process of the server. The server may have
    /// restarted, the endpoint list may have given it a new address, and its previous address to
    /// another server.
    fn leads_to_current_process(&self, server: ServerId, connection: &PooledConnection) -> bool {
        self.pools
            .borrow()
            .get(&server)
            .is_some_and(|pool| pool.instance() == connection.instance())
    }

    fn take_idle(&self, server: ServerId) -> Option<PooledConnection> {
        self.pools
            .borrow_mut()
            .get_mut(&server)?
            .take_idle(self.idle_timeout)
    }

    /// Returns a connection to its pool, or closes it if it is no longer usable for the server.
    fn release(&self, server: ServerId, mut connection: PooledConnection) {
        connection.mark_idle();
        let is_usable =
            connection.is_reusable() && self.leads_to_current_process(server, &connection);
        match self.pools.borrow_mut().get_mut(&server) {
            Some(pool) if is_usable => pool.put_idle(connection),
            _ => connection.close_in_background(),
        }
    }

    /// Opens a connection to a server. If the socket limit is reached, closes the connection that
    /// has been idle for the longest time first. If the future is dropped, the new socket is closed
    /// and no longer counted.
    async fn connect(&self, server: ServerId) -> Result<PooledConnection, ConnectError> {
        let instance = self.pools.borrow().get(&server).map(ServerPool::instance);
        let instance = instance.ok_or(ConnectError::UnknownServer)?;
        if self.open_sockets.count() >= self.max_sockets {
            self.close_oldest_idle().await?;
        }
        let guard = self.open_sockets.add();
        PooledConnection::open(instance, self.connect_timeout, &self.head_memory, guard).await
    }

    /// Closes the connection that has been idle for the longest time, and returns once it is
    /// closed.
    ///
    /// # Errors
    /// Returns [`ConnectError::SocketLimit`] if no connection is idle.
    async fn close_oldest_idle(&self) -> Result<(), ConnectError> {
        let oldest = self.take_oldest_idle().ok_or(ConnectError::SocketLimit)?;
        oldest.close().await;
        Ok(())
    }

    fn take_oldest_idle(&self) -> Option<PooledConnection> {
        let mut pools = self.pools.borrow_mut();
        let pools_with_idle = pools
            .values_mut()
            .filter_map(|pool| Some((pool.oldest_idle_since()?, pool)));
        let (_since, pool) = pools_with_idle.min_by_key(|(since, _pool)| *since)?;
        pool.take_oldest()
    }
}

/// Returns the pool for a process of a server: the existing pool if the process has not changed, or
/// else a new one. Returns `None` if there is no process.
fn updated_pool(
    existing: Option<ServerPool>,
    instance: Option<ServerInstance>,
) -> Option<ServerPool> {
    if let Some(pool) = existing {
        if instance == Some(pool.instance()) {
            return Some(pool);
        }
        pool.close_idle();
    }
    instance.map(ServerPool::new)
}

#[cfg(test)]
#[path = "../../tests/unit/upstream.rs"]
mod tests;
