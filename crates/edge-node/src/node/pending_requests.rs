//! The table of requests that have no final answer yet.

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

/// The final answer to a client's request.
#[derive(Debug)]
pub(crate) enum Answer {
    /// The body of a server's response.
    Served(Bytes),
    /// The decision library rejected the request. Holds how long the client should wait before it
    /// retries; `None` if that is not known.
    Rejected(Option<Duration>),
    /// The request failed: no server answered it.
    Failed,
}

impl Answer {
    /// Returns the outcome under which the metrics count the request.
    pub(super) fn outcome(&self) -> RequestOutcome {
        match self {
            Answer::Served(_) => RequestOutcome::Served,
            Answer::Rejected(_) => RequestOutcome::Rejected,
            Answer::Failed => RequestOutcome::Failed,
        }
    }
}

/// The class and plan under which the metrics count a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestKind {
    pub(super) class: ClassId,
    /// Plan of the request's customer.
    pub(super) plan: PlanId,
}

impl RequestKind {
    /// Returns the kind of the request in [`Event::RequestReceived`]; `None` for any other event.
    pub(super) fn of(event: &Event) -> Option<RequestKind> {
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
pub(super) struct PendingRequest {
    request: Rc<UpstreamRequest>,
    /// Sends the final answer to the client's connection.
    pub(super) answer_sender: oneshot::Sender<Answer>,
    attempts_started: u32,
    /// The class and plan under which the metrics count the request; `None` if it is not counted.
    pub(super) kind: Option<RequestKind>,
    /// Time at which the request had been received completely, including its body.
    pub(super) received_at: Instant,
}

impl PendingRequest {
    /// Creates a pending request without attempts, received completely at this moment.
    pub(super) fn new(
        request: UpstreamRequest,
        kind: Option<RequestKind>,
        answer_sender: oneshot::Sender<Answer>,
    ) -> PendingRequest {
        PendingRequest {
            request: Rc::new(request),
            answer_sender,
            attempts_started: 0,
            kind,
            received_at: Instant::now(),
        }
    }
}

/// An attempt that is about to be sent.
pub(super) struct NextAttempt {
    pub(super) request: Rc<UpstreamRequest>,
    /// Number of the attempt within its request, from 0.
    pub(super) number: AttemptNumber,
    /// The class and plan of the request; `None` if it is not counted.
    pub(super) kind: Option<RequestKind>,
}

/// A pending request as the admin listener reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingRequestStatus {
    /// Id that the client gave the request.
    pub(crate) id: RequestId,
    /// Time since the request was received completely.
    pub(crate) age: Duration,
    /// Number of attempts started, including one in flight.
    pub(crate) attempts: u32,
}

/// All requests without a final answer. Only the caller that removes the entry of a request answers
/// it, so each request gets one final answer.
#[derive(Default)]
pub(super) struct PendingRequests {
    by_id: RefCell<HashMap<RequestId, PendingRequest>>,
}

impl PendingRequests {
    pub(super) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Returns whether the request has no final answer yet.
    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.by_id.borrow().contains_key(id)
    }

    /// Counts one more attempt of a request and returns it; `None` if the request is not pending.
    pub(super) fn next_attempt(&self, id: &RequestId) -> Option<NextAttempt> {
        let mut requests = self.by_id.borrow_mut();
        let pending = requests.get_mut(id)?;
        let number = AttemptNumber(pending.attempts_started);
        pending.attempts_started += 1;
        Some(NextAttempt {
            request: Rc::clone(&pending.request),
            number,
            kind: pending.kind,
        })
    }

    /// Returns the `limit` oldest requests, or all if there are fewer, the oldest first.
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

    /// Adds a request. Its id must not be in the table.
    pub(super) fn insert(&self, id: RequestId, pending: PendingRequest) {
        self.by_id.borrow_mut().insert(id, pending);
    }

    /// Removes and returns a request; `None` if it is not pending.
    pub(super) fn remove(&self, id: &RequestId) -> Option<PendingRequest> {
        self.by_id.borrow_mut().remove(id)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/pending_requests.rs"]
mod tests;
