//! The table of requests that have no final answer yet, and how each of them is answered once.

use super::Node;
use crate::metrics::RequestOutcome;
use crate::upstream::UpstreamRequest;
use bytes::Bytes;
use gateway_core::{AttemptNumber, ClassId, Event, PlanId, RequestId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

/// The final answer to a client's request.
#[derive(Debug)]
pub(crate) enum Answer {
    /// A server answered; this is the body of its answer.
    Served(Bytes),
    /// The decision module rejected the request; how long the client should wait before it tries again, if known.
    Refused(Option<Duration>),
    /// No server could answer the request.
    Failed,
}

impl Answer {
    fn outcome(&self) -> RequestOutcome {
        match self {
            Answer::Served(_) => RequestOutcome::Served,
            Answer::Refused(_) => RequestOutcome::Rejected,
            Answer::Failed => RequestOutcome::Failed,
        }
    }
}

/// What a request is counted under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestKind {
    /// Its class.
    pub(super) class: ClassId,
    /// The plan of its customer.
    pub(super) plan: PlanId,
}

impl RequestKind {
    /// The kind of a request that is received; `None` for any other event.
    fn of(event: &Event) -> Option<RequestKind> {
        match event {
            Event::RequestReceived { class, plan, .. } => Some(RequestKind {
                class: *class,
                plan: *plan,
            }),
            _ => None,
        }
    }
}

/// A request that has no final answer yet.
struct PendingRequest {
    request: Rc<UpstreamRequest>,
    answer: oneshot::Sender<Answer>,
    attempts_started: u32,
    kind: Option<RequestKind>,
    /// When the request was complete, with its body.
    received_at: Instant,
}

impl PendingRequest {
    fn new(
        request: UpstreamRequest,
        kind: Option<RequestKind>,
        answer: oneshot::Sender<Answer>,
    ) -> PendingRequest {
        PendingRequest {
            request: Rc::new(request),
            answer,
            attempts_started: 0,
            kind,
            received_at: Instant::now(),
        }
    }
}

/// An attempt that is about to be sent.
pub(super) struct NextAttempt {
    /// The request to be sent.
    pub(super) request: Rc<UpstreamRequest>,
    /// Counts the attempts of the request, from 0 on.
    pub(super) number: AttemptNumber,
}

/// A pending request as the admin listener shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingRequestStatus {
    /// The id that the client gave the request.
    pub(crate) id: RequestId,
    /// Time since the request was complete.
    pub(crate) age: Duration,
    /// Attempts that have been started, the one in flight among them.
    pub(crate) attempts: u32,
}

/// All requests without a final answer. The entry of a request is the right to answer it: whoever removes it answers.
#[derive(Default)]
pub(super) struct PendingRequests {
    by_id: RefCell<HashMap<RequestId, PendingRequest>>,
}

impl PendingRequests {
    /// How many requests are pending.
    pub(super) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Whether the request has no final answer yet.
    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.by_id.borrow().contains_key(id)
    }

    /// Counts one more attempt of a request; `None` if it is not pending.
    pub(super) fn next_attempt(&self, id: &RequestId) -> Option<NextAttempt> {
        let mut requests = self.by_id.borrow_mut();
        let pending = requests.get_mut(id)?;
        let number = AttemptNumber(pending.attempts_started);
        pending.attempts_started += 1;
        Some(NextAttempt {
            request: Rc::clone(&pending.request),
            number,
        })
    }

    /// The requests that were received first, the oldest in front, `limit` at the most.
    pub(super) fn oldest(&self, limit: usize) -> Vec<PendingRequestStatus> {
        let requests = self.by_id.borrow();
        let mut by_age: Vec<_> = requests.iter().collect();
        by_age.sort_by_key(|(_, pending)| pending.received_at);
        by_age.truncate(limit);
        let status = |(id, pending): (&RequestId, &PendingRequest)| PendingRequestStatus {
            id: id.clone(),
            age: pending.received_at.elapsed(),
            attempts: pending.attempts_started,
        };
        by_age.into_iter().map(status).collect()
    }

    fn insert(&self, id: RequestId, pending: PendingRequest) {
        self.by_id.borrow_mut().insert(id, pending);
    }

    fn remove(&self, id: &RequestId) -> Option<PendingRequest> {
        self.by_id.borrow_mut().remove(id)
    }
}

impl Node {
    /// Requests that have no final answer yet.
    pub(crate) fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Puts a request into the table and hands it to the decision module; the receiver gets its final answer.
    ///
    /// `None` if the id is in use, also by an attempt whose request has been answered: two requests under one id
    /// would mix up their answers.
    ///
    /// Whoever waits for the answer has to call [`Node::abandon_request`] when it stops waiting. Dropping the receiver
    /// alone leaves the request in the table.
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
        self.dispatch(event);
        Some(answered)
    }

    /// Ends a request for which nobody waits any more: its client has disconnected, or its deadline has passed. Does
    /// nothing once the request has its final answer.
    pub(crate) fn abandon_request(self: &Rc<Self>, id: &RequestId) {
        let Some(pending) = self.requests.remove(id) else {
            return;
        };
        self.record_outcome(&pending, RequestOutcome::Abandoned);
        debug!(event = "client_disconnected", id = %id.0, "request {}: nobody waits any more", id.0);
        self.dispatch(Event::ClientDisconnected { id: id.clone() });
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
        // The receiver is gone if the client has disconnected in this moment; the answer is dropped then.
        let _ = pending.answer.send(answer);
    }

    /// Rejects a request; its client should wait for `retry_after` before it retries.
    pub(super) fn reject_request(&self, id: &RequestId, retry_after: Option<Duration>) {
        self.answer_request(id, Answer::Refused(retry_after));
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

#[cfg(test)]
#[path = "../../tests/unit/pending_requests.rs"]
mod tests;
