//! Attempts in flight: how they are started, cancelled and reported to the decision library.

use super::pending_requests::NextAttempt;
use super::{Answer, Node};
use crate::upstream::{Attempt, AttemptResult};
use gateway_core::{AttemptNumber, Event, RequestId, ServerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

/// The attempt of a request that is in flight.
struct InFlightAttempt {
    number: AttemptNumber,
    /// Cancels the attempt when it is dropped.
    _cancel: oneshot::Sender<()>,
}

/// Attempts in flight, at most one for each request. An entry stays until the attempt's connection
/// is closed or free again, also when the request has been answered.
#[derive(Default)]
pub(super) struct InFlightAttempts {
    by_request: RefCell<HashMap<RequestId, InFlightAttempt>>,
}

impl InFlightAttempts {
    /// Whether an attempt of this request is in flight.
    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.by_request.borrow().contains_key(id)
    }

    /// Enters an attempt. The receiver ends when the attempt is cancelled.
    fn insert(&self, id: RequestId, number: AttemptNumber) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        let attempt = InFlightAttempt {
            number,
            _cancel: cancel,
        };
        self.by_request.borrow_mut().insert(id, attempt);
        cancelled
    }

    /// Cancels an attempt, unless it has ended. Its task closes the connection and then reports the
    /// end.
    fn cancel(&self, id: &RequestId, number: AttemptNumber) {
        let mut attempts = self.by_request.borrow_mut();
        if attempts
            .get(id)
            .is_some_and(|attempt| attempt.number == number)
        {
            attempts.remove(id);
        }
    }

    fn remove(&self, id: &RequestId) {
        self.by_request.borrow_mut().remove(id);
    }
}

impl Node {
    /// Sends the next attempt of a request to a server. It ends after `timeout`, or at the
    /// request's deadline.
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        id: RequestId,
        server: ServerId,
        timeout: Option<Duration>,
    ) {
        // The decision library is notified when a request is answered or abandoned, and sends no
        // such request.
        let Some(NextAttempt { request, number }) = self.requests.next_attempt(&id) else {
            return;
        };
        debug!(
            event = "attempt_started",
            id = %id.0,
            attempt = number.0,
            server = server.0,
            "request {}: attempt {} to server {}",
            id.0,
            number.0,
            server.0
        );
        let deadline = attempt_deadline(timeout, request.deadline);
        let cancelled = self.attempts.insert(id.clone(), number);
        let node = Rc::clone(self);
        // The task ends by itself: when the attempt has its answer, at its deadline, or when its
        // entry is removed. It is never aborted, so each attempt is reported to the decision library
        // once.
        tokio::task::spawn_local(async move {
            let is_open = || node.requests.contains(&id);
            let attempt = Attempt {
                request: &request,
                server,
                deadline,
                cancelled,
                is_open,
            };
            let result = node.upstream.attempt(attempt).await;
            node.finish_attempt(id, number, result);
        });
    }

    /// Cancels an attempt, unless it has ended.
    pub(super) fn cancel_attempt(&self, id: &RequestId, number: AttemptNumber) {
        self.attempts.cancel(id, number);
    }

    /// Reports the end of an attempt. Its connection is closed or free again by now, so that a
    /// request never has two attempts in flight.
    fn finish_attempt(
        self: &Rc<Self>,
        id: RequestId,
        attempt: AttemptNumber,
        result: AttemptResult,
    ) {
        let AttemptResult {
            outcome,
            body,
            reported_load,
        } = result;
        debug!(
            event = "attempt_finished",
            id = %id.0,
            attempt = attempt.0,
            ?outcome,
            "request {}: attempt {} ended, {outcome:?}",
            id.0,
            attempt.0
        );
        if let Some(metrics) = &self.metrics {
            metrics.record_attempt(outcome);
        }
        self.attempts.remove(&id);
        if let Some(body) = body {
            self.answer_request(&id, Answer::Served(body));
        }
        let closed = !self.requests.contains(&id);
        self.handle_event(Event::AttemptFinished {
            id,
            attempt,
            outcome,
            closed,
            reported_load,
        });
    }
}

/// The latest end of an attempt: its own timeout from now, or its request's deadline if that is
/// earlier.
fn attempt_deadline(timeout: Option<Duration>, request_deadline: Instant) -> Instant {
    let own_deadline = timeout.and_then(|timeout| Instant::now().checked_add(timeout));
    own_deadline.map_or(request_deadline, |own| own.min(request_deadline))
}

#[cfg(test)]
#[path = "../../tests/unit/attempts.rs"]
mod tests;
