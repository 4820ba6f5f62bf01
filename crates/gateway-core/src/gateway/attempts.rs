//! Finished attempts: records what each reveals about its server, and retries or answers its
//! request.

use super::Gateway;
use crate::policy::retry::{self, RetryDecision};
use crate::state::attempt::{Attempt, AttemptKey};
use crate::state::request::{PossibleExecution, Request};
use crate::time::Timestamp;
use crate::types::{AttemptOutcome, RejectReason, RequestId};
use crate::Action;

/// The result of an attempt, as reported by
/// [`Event::AttemptFinished`](crate::Event::AttemptFinished).
#[derive(Clone, Copy)]
pub(super) struct AttemptResult {
    /// How the attempt ended.
    pub(super) outcome: AttemptOutcome,
    /// Whether the request is closed because its client has received the final answer.
    pub(super) is_request_closed: bool,
    /// Requests in flight at the server, if its answer contained a load report.
    pub(super) reported_load: Option<f64>,
}

impl Gateway {
    /// Handles the end of an attempt: observes its result, and removes, retries or answers its
    /// request.
    pub(super) fn on_attempt_finished(
        &mut self,
        now: Timestamp,
        key: &AttemptKey,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.remove_attempt(key) else {
            return;
        };
        self.observe_result(now, key, &attempt, result);
        let Some(request) = self.requests.get_mut(&key.request) else {
            return;
        };
        request.record_attempt_finished();
        if result.is_request_closed {
            return self.remove_request(&key.request, actions);
        }
        if result.outcome.may_have_executed() && request.possible_execution().is_none() {
            let endpoint = self.servers.endpoint(&attempt.server);
            request.record_possible_execution(endpoint.map(|endpoint| PossibleExecution {
                endpoint,
                sent_at: attempt.sent_at,
            }));
        }
        self.retry_or_answer(now, &key.request, result.outcome, actions);
    }

    fn remove_attempt(&mut self, key: &AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        self.servers.record_attempt_finished(&attempt.server);
        if let Some(account) = self.quotas.account_mut(attempt.customer) {
            account.record_attempt_finished();
        }
        Some(attempt)
    }

    fn observe_result(
        &mut self,
        now: Timestamp,
        key: &AttemptKey,
        attempt: &Attempt,
        result: AttemptResult,
    ) {
        let request = self.requests.get(&key.request);
        let is_cancelled = request.is_some_and(Request::is_cancelled_or_streaming);
        let was_cancelled_here = is_cancelled && result.outcome == AttemptOutcome::Cancelled;
        self.servers
            .observe_attempt(now, attempt, &result, was_cancelled_here, &mut self.random);
        if result.outcome == AttemptOutcome::Success {
            self.servers.estimates_mut().count_answer();
            self.control_loop
                .observe_success(now, &self.deployment, attempt);
        }
    }

    fn retry_or_answer(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match retry::decide(self.context(now), request, outcome, &self.retry_budget) {
            RetryDecision::Retry => {
                self.retry_budget.charge(outcome);
                self.requests.enqueue(id.clone());
            }
            RetryDecision::GiveUp => {
                self.reject_or_fail(now, id, RejectReason::RetriesExhausted, actions);
            }
        }
    }
}
