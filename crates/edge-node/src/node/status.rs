//! The figures that the admin listener asks for, and the count of client connections.

use super::pending_requests::PendingRequestStatus;
use super::Node;
use crate::metrics::StatusSnapshot;
use crate::peers::Peers;
use std::cell::Cell;
use std::rc::Rc;

/// A directory with an entry for each descriptor of this process.
const DESCRIPTOR_DIRECTORY: &str = "/proc/self/fd";

/// Counts one client connection for as long as it lives, so that a connection whose task is dropped
/// isn't counted any more either.
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
    /// Counts a client's connection until the guard is dropped.
    pub(crate) fn client_connected(&self) -> ClientConnectionGuard {
        ClientConnectionGuard::new(&self.client_connections)
    }

    /// The figures at this moment.
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
            open_descriptors: open_descriptors(),
            servers_ready: self.upstream.ready_servers(),
            tracked_entries: self.gateway.borrow().tracked_entries(),
            list_age: last_list.map(|list| list.applied_at.elapsed()),
            list_sequence: last_list.map_or(0, |list| list.sequence),
            datagrams_sent: datagrams.sent,
            datagrams_received: datagrams.received,
        }
    }

    /// Whether the watch on discovery is lost: it was logged, and no list has come since.
    pub(crate) fn is_watch_lost(&self) -> bool {
        self.watch.is_lost()
    }

    /// The open requests that were received first, at most `limit`.
    pub(crate) fn oldest_requests(&self, limit: usize) -> Vec<PendingRequestStatus> {
        self.requests.oldest(limit)
    }
}

/// Descriptors that this process holds; 0 where the system doesn't say.
fn open_descriptors() -> usize {
    // The directory that is read is open itself, and does not count.
    std::fs::read_dir(DESCRIPTOR_DIRECTORY).map_or(0, |entries| entries.count().saturating_sub(1))
}

#[cfg(test)]
#[path = "../../tests/unit/status.rs"]
mod tests;
