//! The open connections of all clients, and the choice of the one to close when there are too many.

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

/// Entries of finished connections that may stay until they are removed together.
const MAX_FINISHED_ENTRIES: usize = 32;
/// How long to wait for one connection to finish before the next one is evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(20);

/// A connection in the table.
struct Entry {
    state: Rc<ConnectionState>,
    /// Aborting the task closes the connection.
    task: AbortHandle,
}

/// The open connections. Each is served by a task of its own; dropping the table aborts the tasks,
/// which closes the connections.
pub(super) struct ConnectionTable {
    tasks: JoinSet<()>,
    /// In the order in which the connections were accepted; finished ones may stay for a while.
    entries: Vec<Entry>,
    max_connections: usize,
    node: Rc<Node>,
    phase: watch::Receiver<Phase>,
}

impl ConnectionTable {
    /// An empty table for so many connections at a time.
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

    /// Takes in an accepted connection: makes room for it, then starts the task that serves it.
    pub(super) async fn insert(&mut self, stream: TcpStream) {
        self.make_room().await;
        self.spawn(stream);
    }

    /// Frees the memory of tasks that have finished.
    pub(super) fn reap_finished_tasks(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }

    /// Waits until each connection is closed.
    pub(super) async fn join_all(&mut self) {
        while self.tasks.join_next().await.is_some() {}
    }

    fn spawn(&mut self, stream: TcpStream) {
        // An error means that the connection is broken, which its task finds out.
        let _ = stream.set_nodelay(true);
        let stream = ReadAheadStream::new(stream);
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
            // A connection that was accepted in this same turn may hold a request that is still
            // unread: it would be taken for idle. One turn of the runtime lets its task read it.
            tokio::task::yield_now().await;
            self.remove_finished_entries();
            self.evict_one();
            // A task that has finished, evicted or not, has closed its socket. If none does in this
            // time, another connection may have become idle meanwhile.
            let _ = tokio::time::timeout(EVICTION_TIMEOUT, self.tasks.join_next()).await;
        }
        // An abort handle retains its finished task's memory, so the number of entries must be
        // bounded.
        if self.entries.len() > self.tasks.len() + MAX_FINISHED_ENTRIES {
            self.remove_finished_entries();
        }
    }

    /// Closes the first connection in the order of eviction, if any is idle.
    fn evict_one(&self) {
        let idle = self
            .entries
            .iter()
            .filter(|entry| entry.state.eviction_order().is_some());
        if let Some(entry) = idle.min_by_key(|entry| entry.state.eviction_order()) {
            entry.task.abort();
        }
    }

    fn remove_finished_entries(&mut self) {
        self.entries.retain(|entry| !entry.task.is_finished());
    }
}
