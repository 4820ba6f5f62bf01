//! The idle connections of one server.
//!
//! The pooled client of `hyper-util` is not used: it sends a request again by itself where a
//! connection was closed, and doesn't tell whether a byte was written, which decides whether a
//! request may be retried.

use super::connection::PooledConnection;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of idle connections per server.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// How long a connection rests after a response before it is used again. A second copy of that
/// response which arrives only after the next request was written would be read as the response to
/// it.
const SETTLING_TIME: Duration = Duration::from_millis(10);

/// A server that is ready: its address and its idle connections, those that became idle first in
/// front.
pub(super) struct ServerPool {
    address: SocketAddr,
    idle: Vec<PooledConnection>,
}

impl ServerPool {
    /// A pool without connections.
    pub(super) fn new(address: SocketAddr) -> ServerPool {
        ServerPool {
            address,
            idle: Vec::new(),
        }
    }

    /// Where the server is reached.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the connection that was used last among those that have settled, so that the others
    /// may expire. Connections that turn out to be unusable are closed.
    pub(super) fn take_idle(&mut self, idle_timeout: Duration) -> Option<PooledConnection> {
        loop {
            let settled = self
                .idle
                .iter()
                .rposition(|connection| connection.idle_time() >= SETTLING_TIME)?;
            let connection = self.idle.remove(settled);
            if connection.is_fresh(idle_timeout) && connection.has_received_nothing() {
                return Some(connection);
            }
            connection.close_in_background();
        }
    }

    /// Keeps a connection that is no longer in use, or closes it if the pool is full.
    pub(super) fn put_idle(&mut self, connection: PooledConnection) {
        if self.idle.len() < MAX_IDLE_CONNECTIONS {
            self.idle.push(connection);
        } else {
            connection.close_in_background();
        }
    }

    /// Closes the connections that have been idle for `idle_timeout` or that the server has closed.
    pub(super) fn evict_expired(&mut self, idle_timeout: Duration) {
        for connection in std::mem::take(&mut self.idle) {
            if connection.is_fresh(idle_timeout) {
                self.idle.push(connection);
            } else {
                connection.close_in_background();
            }
        }
    }

    /// Since when the connection that became idle first has been idle; `None` if there is no idle
    /// connection.
    pub(super) fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.first().map(PooledConnection::idle_since)
    }

    /// Takes the connection that became idle first.
    pub(super) fn take_oldest(&mut self) -> Option<PooledConnection> {
        if self.idle.is_empty() {
            return None;
        }
        Some(self.idle.remove(0))
    }

    /// Closes all idle connections; those in use are closed when they are released.
    pub(super) fn close_idle(self) {
        for connection in self.idle {
            connection.close_in_background();
        }
    }
}
