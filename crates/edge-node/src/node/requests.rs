//! The requests of clients: accepts them, and gives each exactly one final answer.

use super::pending_requests::{Answer, PendingRequest, RequestKind};
use super::Node;
use crate::metrics::RequestOutcome;
use crate::upstream::UpstreamRequest;
use gateway_core::{Event, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

impl Node {
    /// Returns the number of requests that have no final answer yet.
    pub(crate) fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Sets the time by which requests that arrive from now on must be answered, because the process
    /// is killed soon after.
    pub(crate) fn set_answer_limit(&self, limit: Instant) {
        self.answer_limit.set(Some(limit));
    }

    /// Returns the time by which a request that arrives now must be answered, whatever its own
    /// deadline is; `None` while the process is not shutting down.
    pub(crate) fn answer_limit(&self) -> Option<Instant> {
        self.answer_limit.get()
    }

    /// Adds a request to the table and passes it to the decision library. Returns the receiver of
    /// the final answer.
    ///
    /// Returns `None` if the id is in use by a pending request, or by an attempt in flight of a
    /// request that has been answered: the answers of two requests with the same id could be
    /// confused. Also returns `None` if a request with the id may have been executed recently, and
    /// must not be executed again.
    ///
    /// A caller that stops waiting for the answer has to call [`Node::abandon_request`]. Dropping
    /// the receiver leaves the request in the table.
    pub(crate) fn accept_request(
        self: &Rc<Self>,
        event: Event,
        request: UpstreamRequest,
    ) -> Option<oneshot::Receiver<Answer>> {
        let id = request.id.clone();
        let is_in_use = self.requests.contains(&id) || self.attempts.contains(&id);
        if is_in_use || self.executed.contains(&id, Instant::now()) {
            return None;
        }
        debug!(
            event = "request_received",
            id = %id.0,
            target = request.target,
            "request {}: {}",
            id.0,
            request.target
        );
        let (answer_sender, answer_receiver) = oneshot::channel();
        let pending = PendingRequest::new(request, RequestKind::of(&event), answer_sender);
        self.requests.insert(id, pending);
        self.handle_event(event);
        Some(answer_receiver)
    }

    /// Ends a request whose client has disconnected or whose deadline has passed. Does nothing if
    /// the request has its final answer.
    pub(crate) fn abandon_request(self: &Rc<Self>, id: &RequestId) {
        let Some(pending) = self.requests.remove(id) else {
            return;
        };
        self.record_outcome(&pending, RequestOutcome::Abandoned);
        debug!(event = "client_disconnected", id = %id.0, "request {}: abandoned", id.0);
        self.handle_event(Event::ClientDisconnected { id: id.clone() });
    }

    /// Gives a request its final answer; does nothing if it has one.
    pub(super) fn answer_request(&self, id: &RequestId, answer: Answer) {
        let Some(pending) = self.requests.remove(id) else {
            return;
        };
        let outcome = answer.outcome();
        debug!(
            event = "request_answered",
            id = %id.0,
            answer = outcome.label(),
            "request {}: {}",
            id.0,
            outcome.label()
        );
        self.record_outcome(&pending, outcome);
        // If the client has just disconnected, the receiver no longer exists and the answer is
        // dropped.
        let _ = pending.answer_sender.send(answer);
    }

    /// Rejects a request. `retry_after` is how long its client should wait before it retries.
    pub(super) fn reject_request(&self, id: &RequestId, retry_after: Option<Duration>) {
        self.answer_request(id, Answer::Rejected(retry_after));
    }

    fn record_outcome(&self, pending: &PendingRequest, outcome: RequestOutcome) {
        if let (Some(metrics), Some(kind)) = (&self.metrics, pending.kind) {
            metrics.record_request(
                kind.class,
                kind.plan,
                outcome,
                pending.received_at.elapsed(),
            );
        }
    }
}
