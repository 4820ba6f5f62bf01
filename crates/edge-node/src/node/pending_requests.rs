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
    /// A server answered; this is the body of its answer.
    Served(Bytes),
    /// The decision library rejected the request; how long the client should wait before it tries
    /// again, if known.
    Rejected(Option<Duration>),
    /// No server could answer the request.
    Failed,
}

impl Answer {
    /// What the request is counted as.
    pub(super) fn outcome(&self) -> RequestOutcome {
        match self {
            Answer::Served(_) => RequestOutcome::Served,
            Answer::Rejected(_) => RequestOutcome::Rejected,
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
    /// Whoever waits for the answer has the receiver.
    pub(super) answer: oneshot::Sender<Answer>,
    attempts_started: u32,
    /// What the request is counted under, if it is counted.
    pub(super) kind: Option<RequestKind>,
    /// When the request was complete, with its body.
    pub(super) received_at: Instant,
}

impl PendingRequest {
    /// A request that is complete now, without attempts.
    pub(super) fn new(
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

/// All requests without a final answer. The entry of a request is the right to answer it: whoever
/// removes it answers.
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

    /// The requests that were received first, the oldest in front, at most `limit`.
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

    /// Adds a request whose id is not in the table.
    pub(super) fn insert(&self, id: RequestId, pending: PendingRequest) {
        self.by_id.borrow_mut().insert(id, pending);
    }

    /// Removes a request; `None` if it has its final answer.
    pub(super) fn remove(&self, id: &RequestId) -> Option<PendingRequest> {
        self.by_id.borrow_mut().remove(id)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/pending_requests.rs"]
mod tests;
