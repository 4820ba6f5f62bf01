//! What the node does with requests: accepts them, and gives each its one final answer.

use super::pending_requests::{Answer, PendingRequest, RequestKind};
use super::Node;
use crate::metrics::RequestOutcome;
use crate::upstream::UpstreamRequest;
use gateway_core::{Event, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tracing::debug;

impl Node {
    /// Requests that have no final answer yet.
    pub(crate) fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Puts a request into the table and hands it to the decision library; the receiver gets its
    /// final answer.
    ///
    /// `None` if the id is in use, also by an attempt whose request has been answered: two requests
    /// under one id would mix up their answers.
    ///
    /// Whoever waits for the answer has to call [`Node::abandon_request`] when it stops waiting.
    /// Dropping the receiver alone leaves the request in the table.
    pub(crate) fn accept_request(
        self: &Rc<Self>,
        event: Event,
        request: UpstreamRequest,
    ) -> Option<oneshot::Receiver<Answer>> {
        let id = request.id.clone();
        if self.requests.contains(&id) || self.attempts.contains(&id) {
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
        let (answer, answered) = oneshot::channel();
        let pending = PendingRequest::new(request, RequestKind::of(&event), answer);
        self.requests.insert(id, pending);
        self.handle_event(event);
        Some(answered)
    }

    /// Ends a request for which nobody waits any more: its client has disconnected, or its deadline
    /// has passed. Does nothing once the request has its final answer.
    pub(crate) fn abandon_request(self: &Rc<Self>, id: &RequestId) {
        let Some(pending) = self.requests.remove(id) else {
            return;
        };
        self.record_outcome(&pending, RequestOutcome::Abandoned);
        debug!(event = "client_disconnected", id = %id.0, "request {}: nobody waits any more", id.0);
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
        // The receiver is gone if the client has disconnected in this moment; the answer is dropped
        // then.
        let _ = pending.answer.send(answer);
    }

    /// Rejects a request; its client should wait for `retry_after` before it retries.
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
