//! The table of open client connections, which evicts idle connections at the connection limit.

use super::connection;
use super::connection_state::ConnectionState;
use super::phase::Phase;
use super::read_ahead::ReadAheadStream;
use crate::node::Node;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tracing::debug;

/// Number of entries of finished connections that may stay in the table. Beyond this number, all of
/// them are removed at once.
const MAX_FINISHED_ENTRIES: usize = 32;
/// Maximum time to wait for a connection to finish before another connection is evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(20);

/// A client connection and the task that serves it.
struct Entry {
    state: Rc<ConnectionState>,
    task: AbortHandle,
}

/// The open client connections, each served by its own task. Dropping the table aborts the tasks,
/// which closes the connections.
pub(super) struct ConnectionTable {
    tasks: JoinSet<()>,
    /// Entries in the order in which the connections were accepted; entries of finished connections
    /// may stay for a while.
    entries: Vec<Entry>,
    max_connections: usize,
    node: Rc<Node>,
    phase: watch::Receiver<Phase>,
}

impl ConnectionTable {
    /// Creates an empty table that keeps at most `max_connections` connections open at a time.
    pub(super) fn new(
        node: Rc<Node>,
        max_connections: usize,
        phase: watch::Receiver<Phase>,
    ) -> ConnectionTable {
        ConnectionTable {
            tasks: JoinSet::new(),
            entries: Vec::new(),
            max_connections,
            node,
            phase,
        }
    }

    /// Inserts an accepted connection: evicts idle connections if the limit is reached, then starts
    /// the task that serves the accepted one.
    pub(super) async fn insert(&mut self, stream: TcpStream) {
        self.make_room().await;
        self.spawn(stream);
    }

    /// Frees the memory of tasks that have finished.
    pub(super) fn reap_finished_tasks(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }

    /// Waits until all connections are closed.
    pub(super) async fn join_all(&mut self) {
        while self.tasks.join_next().await.is_some() {}
    }

    fn spawn(&mut self, stream: TcpStream) {
        // An error means that the connection is broken, which its task detects.
        let _ = stream.set_nodelay(true);
        let stream = ReadAheadStream::new(stream, &self.node.head_memory);
        let state = Rc::new(ConnectionState::new(&stream));
        let serve = connection::serve(
            stream,
            Rc::clone(&self.node),
            self.phase.clone(),
            Rc::clone(&state),
        );
        let task = self.tasks.spawn_local(serve);
        self.entries.push(Entry { state, task });
    }

    /// Evicts connections until there is room for one more, so that clients that hold connections
    /// without using them can't shut out others.
    async fn make_room(&mut self) {
        while self.tasks.len() >= self.max_connections {
            // A connection that was accepted in this turn of the runtime may have a request that
            // its task has not read yet, and would be mistaken for idle. Yielding once lets the
            // task read the request.
            tokio::task::yield_now().await;
            self.remove_finished_entries();
            self.evict_connection();
            // A task that has finished, whether evicted or not, has closed its socket. If none
            // finishes before the timeout, the loop tries again, because another connection may
            // have become idle by then.
            let _ = tokio::time::timeout(EVICTION_TIMEOUT, self.tasks.join_next()).await;
        }
        // An abort handle retains its finished task's memory, so the number of entries must be
        // bounded.
        if self.entries.len() > self.tasks.len() + MAX_FINISHED_ENTRIES {
            self.remove_finished_entries();
        }
    }

    /// Asks the connection that is first in the order of eviction to close. Does nothing if a
    /// request is in flight on every connection.
    fn evict_connection(&self) {
        let evictable = self
            .entries
            .iter()
            .filter(|entry| entry.state.eviction_order().is_some());
        if let Some(entry) = evictable.min_by_key(|entry| entry.state.eviction_order()) {
            debug!(
                event = "client_connection_evicted",
                requests = entry.state.requests(),
                idle_ms = entry.state.idle_time().as_millis(),
                "a client connection is to be closed: the limit of {} connections is reached",
                self.max_connections
            );
            entry.state.request_eviction();
        }
    }

    fn remove_finished_entries(&mut self) {
        self.entries.retain(|entry| !entry.task.is_finished());
    }
}
