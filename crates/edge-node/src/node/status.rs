//! The status that the admin listener reports, and the count of client connections.

use super::pending_requests::PendingRequestStatus;
use super::{process, Node};
use crate::metrics::{CloseReason, StatusSnapshot};
use crate::peers::Peers;
use std::cell::Cell;
use std::rc::Rc;

/// Counts one client connection until the guard is dropped. The count is correct even if the task
/// of the connection is dropped before its end.
pub(crate) struct ClientConnectionGuard {
    connections: Rc<Cell<usize>>,
}

impl ClientConnectionGuard {
    fn new(connections: &Rc<Cell<usize>>) -> ClientConnectionGuard {
        connections.set(connections.get() + 1);
        ClientConnectionGuard {
            connections: Rc::clone(connections),
        }
    }
}

impl Drop for ClientConnectionGuard {
    fn drop(&mut self) {
        self.connections
            .set(self.connections.get().saturating_sub(1));
    }
}

impl Node {
    /// Counts a client connection until the returned guard is dropped.
    pub(crate) fn client_connected(&self) -> ClientConnectionGuard {
        ClientConnectionGuard::new(&self.client_connections)
    }

    /// Counts a client connection that is closed.
    pub(crate) fn client_connection_closed(&self, reason: CloseReason) {
        if let Some(metrics) = &self.metrics {
            metrics.record_closed_connection(reason);
        }
    }

    /// Returns a snapshot of the values that `/metrics` and `/debug/state` report.
    pub(crate) fn status(&self) -> StatusSnapshot {
        let datagrams = self
            .peers
            .as_ref()
            .map(Peers::datagram_counts)
            .unwrap_or_default();
        let last_list = self.watch.last_list();
        StatusSnapshot {
            open_requests: self.open_requests(),
            client_connections: self.client_connections.get(),
            server_connections: self.upstream.open_sockets(),
            open_descriptors: process::open_descriptors(),
            resident_memory_bytes: process::resident_memory_bytes(),
            request_body_bytes: self.request_bodies.reserved_bytes(),
            response_body_bytes: self.upstream.response_body_bytes(),
            servers_ready: self.upstream.ready_servers(),
            tracked_entries: self.gateway.borrow().tracked_entries(),
            list_age: last_list.map(|list| list.applied_at.elapsed()),
            list_sequence: last_list.map_or(0, |list| list.sequence),
            datagrams_sent: datagrams.sent,
            datagrams_received: datagrams.received,
        }
    }

    /// Returns whether the watch on discovery was logged as lost and no list has been applied
    /// since.
    pub(crate) fn is_watch_lost(&self) -> bool {
        self.watch.is_lost()
    }

    /// Returns the `limit` oldest open requests, or all if there are fewer, the oldest first.
    pub(crate) fn oldest_requests(&self, limit: usize) -> Vec<PendingRequestStatus> {
        self.requests.oldest(limit)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/status.rs"]
mod tests;
