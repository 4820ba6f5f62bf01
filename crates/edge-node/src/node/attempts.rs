//! Attempts in flight: starts and cancels them, and reports their results to the decision library.

use super::pending_requests::NextAttempt;
use super::{Answer, Node};
use crate::upstream::{Attempt, AttemptResult};
use gateway_core::{AttemptNumber, ClassId, Event, Idempotency, RequestId, ServerId, Timestamp};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

struct InFlightAttempt {
    number: AttemptNumber,
    /// Dropping this sender cancels the attempt.
    _cancel: oneshot::Sender<()>,
}

/// The attempts in flight, at most one per request. An entry stays until the attempt is cancelled,
/// or until its connection is closed or idle again, even if the request has its final answer before
/// then.
#[derive(Default)]
pub(super) struct InFlightAttempts {
    by_request: RefCell<HashMap<RequestId, InFlightAttempt>>,
}

impl InFlightAttempts {
    /// Returns whether an attempt of this request is in flight.
    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.by_request.borrow().contains_key(id)
    }

    /// Adds an attempt. Returns a receiver whose channel closes when the attempt is cancelled.
    fn insert(&self, id: RequestId, number: AttemptNumber) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        let attempt = InFlightAttempt {
            number,
            _cancel: cancel,
        };
        self.by_request.borrow_mut().insert(id, attempt);
        cancelled
    }

    /// Cancels an attempt, unless it has ended. The attempt's task closes the connection and then
    /// reports the result.
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
    /// Sends the next attempt of a request to a server. The attempt ends after `timeout` or at the
    /// request's deadline, whichever comes first. Nothing is written after `write_deadline`.
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        id: RequestId,
        server: ServerId,
        timeout: Option<Duration>,
        write_deadline: Option<Timestamp>,
    ) {
        // Only a request that has been answered or abandoned is missing. The decision library is
        // notified of both, and starts no attempt of such a request.
        let Some(NextAttempt {
            request,
            number,
            kind,
        }) = self.requests.next_attempt(&id)
        else {
            return;
        };
        let may_repeat = kind.is_some_and(|kind| self.is_idempotent(kind.class));
        log_attempt_started(&id, number, server);
        let deadline = attempt_deadline(timeout, request.deadline);
        let write_deadline = write_deadline.and_then(|time| self.clock.instant_of(time));
        let cancelled = self.attempts.insert(id.clone(), number);
        let node = Rc::clone(self);
        // The task ends when the response is complete, at the attempt's deadline, or when the
        // attempt's table entry is removed. It is never aborted, so each attempt is reported to the
        // decision library exactly once.
        tokio::task::spawn_local(async move {
            let is_open = || node.requests.contains(&id);
            let attempt = Attempt {
                request: &request,
                number,
                server,
                deadline,
                write_deadline,
                cancelled,
                is_open,
            };
            let result = node.upstream.attempt(attempt).await;
            if !may_repeat && result.outcome.may_have_executed() {
                node.executed.insert(&id, Instant::now());
            }
            node.finish_attempt(id, number, result);
        });
    }

    /// Returns whether requests of a class may be executed any number of times.
    fn is_idempotent(&self, class: ClassId) -> bool {
        let classes = &self.settings.settings.classes;
        let class = classes.get(class.0);
        class.is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// Cancels an attempt, unless it has ended.
    pub(super) fn cancel_attempt(&self, id: &RequestId, number: AttemptNumber) {
        self.attempts.cancel(id, number);
    }

    /// Reports the result of an attempt to the decision library. The attempt's connection is closed
    /// or idle again by now, so a request never has two attempts in flight.
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
            "request {}: attempt {} ended: {outcome:?}",
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

fn log_attempt_started(id: &RequestId, number: AttemptNumber, server: ServerId) {
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
}

/// Returns the time at which an attempt ends at the latest: `timeout` from now or the request's
/// deadline, whichever is earlier.
fn attempt_deadline(timeout: Option<Duration>, request_deadline: Instant) -> Instant {
    let timeout_deadline = timeout.and_then(|timeout| Instant::now().checked_add(timeout));
    timeout_deadline.map_or(request_deadline, |deadline| deadline.min(request_deadline))
}

#[cfg(test)]
#[path = "../../tests/unit/attempts.rs"]
mod tests;
