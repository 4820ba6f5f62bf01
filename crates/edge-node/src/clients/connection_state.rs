//! The state of a client connection that decides when the connection is evicted.

use super::read_ahead::ReadAheadStream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Idle time credited to a new connection, so that it is evicted before a connection that has just
/// become idle: well-behaved clients send a request as soon as they connect.
const INITIAL_IDLE_TIME: Duration = Duration::from_secs(1);

/// State of a connection that the connection table reads. The connection's own task keeps it up to
/// date.
pub(super) struct ConnectionState {
    /// Time at which the connection became idle; `None` while a request is in flight.
    idle_since: Cell<Option<Instant>>,
    /// Whether part of a response is still unwritten because the client reads slowly.
    write_blocked: Rc<Cell<bool>>,
    /// Number of requests whose heads have arrived.
    requests: Cell<u64>,
}

impl ConnectionState {
    pub(super) fn new(stream: &ReadAheadStream) -> ConnectionState {
        let now = Instant::now();
        let idle_since = now.checked_sub(INITIAL_IDLE_TIME).unwrap_or(now);
        ConnectionState {
            idle_since: Cell::new(Some(idle_since)),
            write_blocked: stream.write_blocked(),
            requests: Cell::new(0),
        }
    }

    /// Records that the head of a request has arrived. Returns the number of requests, this one
    /// included.
    pub(super) fn record_request(&self) -> u64 {
        self.requests.set(self.requests.get() + 1);
        self.requests.get()
    }

    /// Returns the number of requests whose heads have arrived.
    pub(super) fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Returns how long the connection has been idle; zero while a request is in flight.
    pub(super) fn idle_time(&self) -> Duration {
        self.idle_since
            .get()
            .map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Returns the position of the connection in the order of eviction, or `None` while a request
    /// is in flight on it.
    pub(super) fn eviction_order(&self) -> Option<EvictionOrder> {
        let idle_since = self.idle_since.get()?;
        Some(EvictionOrder {
            write_blocked: self.write_blocked.get(),
            idle_since,
        })
    }
}

/// Sort key of the order of eviction; the connection with the lowest key is evicted first. The
/// longest idle connection comes first, and connections with an unwritten response come after all
/// others. The derived order compares the fields in the order of their declaration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    write_blocked: bool,
    idle_since: Instant,
}

/// Guard that marks a connection as busy until the guard is dropped: after the response is built,
/// or together with the future that builds the response. From then on, the connection is idle.
pub(super) struct InFlightGuard<'a>(&'a ConnectionState);

impl<'a> InFlightGuard<'a> {
    /// Marks the connection as busy.
    pub(super) fn new(state: &'a ConnectionState) -> InFlightGuard<'a> {
        state.idle_since.set(None);
        InFlightGuard(state)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.idle_since.set(Some(Instant::now()));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_state.rs"]
mod tests;
