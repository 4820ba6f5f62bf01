//! The idle connections of one server.
//!
//! The pooled client of `hyper-util` is not used: it resends a request on its own if the connection
//! was closed, and does not report whether a byte was written, which decides whether a request may
//! be retried.

use super::connection::PooledConnection;
use super::instance::ServerInstance;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of idle connections per server.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Minimum idle time of a connection before it is used again. If a second copy of a response
/// arrived only after the next request was written, it would be read as the response to that
/// request.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// A ready server: its process and its idle connections, in the order in which they became idle.
pub(super) struct ServerPool {
    instance: ServerInstance,
    idle: Vec<PooledConnection>,
}

impl ServerPool {
    /// Creates a pool without connections.
    pub(super) fn new(instance: ServerInstance) -> ServerPool {
        ServerPool {
            instance,
            idle: Vec::new(),
        }
    }

    pub(super) fn instance(&self) -> ServerInstance {
        self.instance
    }

    /// Takes the most recently used of the connections that have been idle for [`REUSE_DELAY`] or
    /// longer, so that the others may expire. Closes connections that turn out to be unusable.
    pub(super) fn take_idle(&mut self, idle_timeout: Duration) -> Option<PooledConnection> {
        loop {
            let reusable = self
                .idle
                .iter()
                .rposition(|connection| connection.idle_time() >= REUSE_DELAY)?;
            let connection = self.idle.remove(reusable);
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

    /// Returns the time at which the longest idle connection became idle; `None` if there is no
    /// idle connection.
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
