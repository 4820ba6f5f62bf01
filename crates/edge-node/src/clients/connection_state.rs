//! What the table of connections knows of one connection.

use super::read_ahead::ReadAheadStream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A connection on which no request has come yet counts as idle for this much longer than it is:
/// well-behaved clients send one as soon as they connect.
const INITIAL_IDLE_TIME: Duration = Duration::from_secs(1);

/// What the table knows of a connection; the connection's own task keeps it up to date.
pub(super) struct ConnectionState {
    /// Since when no request is in flight; `None` while one is.
    idle_since: Cell<Option<Instant>>,
    /// Whether the client reads so slowly that a part of a response is still unwritten.
    write_blocked: Rc<Cell<bool>>,
    /// Whether no request has come yet.
    awaits_first_request: Cell<bool>,
}

impl ConnectionState {
    pub(super) fn new(stream: &ReadAheadStream) -> ConnectionState {
        let now = Instant::now();
        let idle_since = now.checked_sub(INITIAL_IDLE_TIME).unwrap_or(now);
        ConnectionState {
            idle_since: Cell::new(Some(idle_since)),
            write_blocked: stream.write_blocked(),
            awaits_first_request: Cell::new(true),
        }
    }

    /// Notes that a request has come; true if it is the first.
    pub(super) fn take_first_request(&self) -> bool {
        self.awaits_first_request.replace(false)
    }

    /// Where the connection stands in the order of eviction; `None` while a request is in flight on
    /// it.
    pub(super) fn eviction_order(&self) -> Option<EvictionOrder> {
        let idle_since = self.idle_since.get()?;
        Some(EvictionOrder {
            write_blocked: self.write_blocked.get(),
            idle_since,
        })
    }
}

/// The order of eviction, lowest first: the longest idle, and connections with an unwritten
/// response after all others. The derived order compares the fields from the first to the last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    write_blocked: bool,
    idle_since: Instant,
}

/// Marks a connection as busy while it lives. Dropping it, with the response built or its future
/// dropped, marks the connection as idle from then on.
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
