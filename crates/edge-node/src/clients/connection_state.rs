//! The state of a client connection, from which it follows when the connection is closed or
//! evicted.

use super::connection_limits;
use super::read_ahead::ReadAheadStream;
use super::transfers::{ReceivedSpan, Transfers};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Idle time credited to a new connection, so that it is evicted before a connection that has just
/// become idle: well-behaved clients send a request as soon as they connect.
const INITIAL_IDLE_TIME: Duration = Duration::from_secs(1);

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// No request has begun to arrive since `since`, when the connection was accepted or the last
    /// response was written.
    Idle { since: Instant },
    /// A part of a request has arrived, but not its complete head.
    Receiving(ReceivedSpan),
    /// The head of a request has arrived, and a part of its body is missing.
    ReceivingBody(ReceivedSpan),
    /// A request is in flight.
    InFlight,
    /// Part of a response is unwritten since `since`, because the client reads slowly.
    WriteBlocked { since: Instant },
}

/// State of a connection that the connection table reads. The connection's own task keeps it up to
/// date.
pub(super) struct ConnectionState {
    accepted_at: Instant,
    /// Time at which the last response was built; `None` before the first request.
    answered_at: Cell<Option<Instant>>,
    is_in_flight: Cell<bool>,
    /// Whether the connection is being closed, so that it need not be evicted.
    is_closing: Cell<bool>,
    transfers: Rc<Transfers>,
    /// Number of requests whose heads have arrived.
    requests: Cell<u64>,
    eviction: Notify,
    /// Ends the wait for the body of a request; `None` while no body is being received.
    body_eviction: RefCell<Option<Rc<Notify>>>,
}

impl ConnectionState {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new(stream: &ReadAheadStream) -> ConnectionState {
        ConnectionState {
            accepted_at: Instant::now(),
            answered_at: Cell::new(None),
            is_in_flight: Cell::new(false),
            is_closing: Cell::new(false),
            transfers: stream.transfers(),
            requests: Cell::new(0),
            eviction: Notify::new(),
            body_eviction: RefCell::default(),
        }
    }

    /// Returns when the connection was accepted.
    pub(super) fn accepted_at(&self) -> Instant {
        self.accepted_at
    }

    /// Returns what happens on the connection.
    pub(super) fn activity(&self) -> Activity {
        if self.is_in_flight.get() {
            let is_receiving_body = self.body_eviction.borrow().is_some();
            let span = self.transfers.received().filter(|_| is_receiving_body);
            return span.map_or(Activity::InFlight, Activity::ReceivingBody);
        }
        let since = self.idle_since();
        if self.transfers.is_write_blocked() {
            return Activity::WriteBlocked { since };
        }
        match self.transfers.received() {
            Some(span) => Activity::Receiving(span),
            None => Activity::Idle { since },
        }
    }

    fn idle_since(&self) -> Instant {
        let last = self.answered_at.get().max(self.transfers.last_write());
        last.unwrap_or(self.accepted_at)
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

    /// Returns the time by which the body of the request must have arrived whose head is complete now.
    pub(super) fn body_deadline(&self) -> Instant {
        let now = Instant::now();
        let first_byte = self.transfers.received().map_or(now, |span| span.first);
        let has_earlier_requests = self.requests.get() > 1;
        connection_limits::body_deadline(first_byte, self.accepted_at, has_earlier_requests, now)
    }

    /// Returns how long no request has been in flight; zero while one is.
    pub(super) fn idle_time(&self) -> Duration {
        match self.activity() {
            Activity::InFlight | Activity::ReceivingBody(_) => Duration::ZERO,
            _ => self.idle_since().elapsed(),
        }
    }

    /// Asks the connection's task to close the connection, unless a complete request is in flight
    /// on it.
    pub(super) fn request_eviction(&self) {
        match &*self.body_eviction.borrow() {
            Some(body_eviction) => body_eviction.notify_one(),
            None => self.eviction.notify_one(),
        }
    }

    /// Marks the connection as waiting for a body until the guard is dropped.
    pub(super) fn receive_body(&self) -> BodyGuard<'_> {
        let evicted = Rc::<Notify>::default();
        *self.body_eviction.borrow_mut() = Some(Rc::clone(&evicted));
        BodyGuard {
            state: self,
            evicted,
        }
    }

    /// Waits until [`request_eviction`](Self::request_eviction) is called.
    pub(super) async fn eviction_requested(&self) {
        self.eviction.notified().await;
    }

    /// Records that the connection is being closed.
    pub(super) fn begin_closing(&self) {
        self.is_closing.set(true);
    }

    /// Returns the position of the connection in the order of eviction, or `None` while a complete
    /// request is in flight on it or while it is being closed.
    pub(super) fn eviction_order(&self) -> Option<EvictionOrder> {
        if self.is_closing.get() {
            return None;
        }
        match self.activity() {
            Activity::InFlight => None,
            Activity::Idle { since } => Some(EvictionOrder::Idle(self.with_initial_credit(since))),
            Activity::Receiving(span) | Activity::ReceivingBody(span) => {
                Some(EvictionOrder::Receiving(span.last))
            }
            Activity::WriteBlocked { since } => Some(EvictionOrder::WriteBlocked(since)),
        }
    }

    fn with_initial_credit(&self, since: Instant) -> Instant {
        if self.requests.get() > 0 {
            return since;
        }
        since.checked_sub(INITIAL_IDLE_TIME).unwrap_or(since)
    }
}

/// Sort key of the order of eviction; the connection with the lowest key is evicted first. The
/// derived order compares the variants in the order of their declaration: the close of an idle
/// connection costs its client least, and an incomplete request can still be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionOrder {
    /// Idle since this time.
    Idle(Instant),
    /// A request is incomplete, and its last part arrived at this time.
    Receiving(Instant),
    /// A response is unwritten since this time.
    WriteBlocked(Instant),
}

/// Guard that marks a connection as busy until the guard is dropped: after the response is built,
/// or together with the future that builds the response.
pub(super) struct InFlightGuard<'a> {
    state: &'a ConnectionState,
    stream: &'a ReadAheadStream,
}

impl<'a> InFlightGuard<'a> {
    /// Marks the connection as busy.
    pub(super) fn new(state: &'a ConnectionState, stream: &'a ReadAheadStream) -> Self {
        state.is_in_flight.set(true);
        InFlightGuard { state, stream }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.state.is_in_flight.set(false);
        self.state.answered_at.set(Some(Instant::now()));
        self.stream.end_request();
        let has_unread_bytes = self.stream.has_buffered_bytes();
        self.state.transfers.record_answer(has_unread_bytes);
    }
}

/// Guard that marks a connection as waiting for a body.
pub(super) struct BodyGuard<'a> {
    state: &'a ConnectionState,
    evicted: Rc<Notify>,
}

impl BodyGuard<'_> {
    /// Waits until the connection is needed for another client.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for BodyGuard<'_> {
    fn drop(&mut self) {
        *self.state.body_eviction.borrow_mut() = None;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_state.rs"]
mod tests;
