//! Attempts: sending queued requests, and what is learned from how attempts end.

use super::Gateway;
use crate::policy::dispatch::{self, DispatchDecision, DispatchPass};
use crate::policy::retry::{self, RetryDecision};
use crate::state::attempt::{Attempt, AttemptKey};
use crate::state::deployment::Context;
use crate::state::request::{PossibleExecution, Request};
use crate::time::{DurationExt, Timestamp};
use crate::types::{AttemptNumber, AttemptOutcome, RejectReason, RequestId, ServerId};
use crate::Action;

/// How an attempt ended.
#[derive(Clone, Copy)]
pub(super) struct AttemptResult {
    pub(super) outcome: AttemptOutcome,
    /// Whether its request is closed.
    pub(super) closed: bool,
    /// Requests in flight at the server, if it said so.
    pub(super) reported_load: Option<f64>,
}

impl Gateway {
    /// Sends queued requests, the highest priority first, while servers have capacity.
    pub(super) fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.requests.is_queue_empty() {
            return;
        }
        let mut selectable = self.selectable_servers(now);
        if selectable.is_empty() {
            return; // sorting the queue at each event during an overload would use up the processor
        }
        let lowest_class = self.deployment.lowest_class;
        let mut pass = DispatchPass::new(lowest_class, self.attempts.count_of(lowest_class));
        for id in self.queue_by_priority(now) {
            if selectable.is_empty() {
                break;
            }
            let Some(server) = self.server_for_queued(now, &id, &pass, &selectable) else {
                continue;
            };
            if let Some(request) = self.requests.get(&id) {
                pass.attempt_sent(request.class(), self.controller.limit());
            }
            self.send_attempt(now, id, server, actions);
            selectable = if self.requests.is_queue_empty() {
                Vec::new()
            } else {
                self.selectable_servers(now)
            };
        }
    }

    /// The server to which a queued request is sent now; `None` if it stays queued.
    fn server_for_queued(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        pass: &DispatchPass,
        selectable: &[ServerId],
    ) -> Option<ServerId> {
        let context = Context {
            now,
            deployment: &self.deployment,
            fleet: self.servers.estimates(),
        };
        let request = self.requests.get_mut(id)?;
        let limit = self.controller.limit();
        match pass.decide(context, request, limit, &mut self.quotas) {
            DispatchDecision::Send => self.pick_server(now, id, selectable),
            DispatchDecision::SkipForQuota => {
                request.delayed_by_quota_until(now);
                None
            }
            DispatchDecision::SkipForInFlightLimit => None,
        }
    }

    /// Servers that may be chosen from now.
    fn selectable_servers(&mut self, now: Timestamp) -> Vec<ServerId> {
        self.servers.selectable(
            now,
            &self.deployment,
            self.attempts.count(),
            self.timers.next_control_tick,
            &mut self.random,
        )
    }

    /// The server for a request, of the selectable ones.
    fn pick_server(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        selectable: &[ServerId],
    ) -> Option<ServerId> {
        let request = self.requests.get(id)?;
        self.servers
            .choose(now, &self.deployment, request, selectable, &mut self.random)
    }

    fn queue_by_priority(&self, now: Timestamp) -> Vec<RequestId> {
        let context = self.context(now);
        let queued = self.requests.queued();
        let mut order: Vec<_> = queued
            .map(|(id, request)| (dispatch::priority(context, request), id.clone()))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        order.into_iter().map(|(_, id)| id).collect()
    }

    fn send_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        server_id: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let next_probe_at = self.servers.next_probe_at(now, &mut self.random);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let class = request.class();
        let Some(server_in_flight) =
            self.servers
                .record_attempt_sent(now, &server_id, class, next_probe_at)
        else {
            return;
        };
        let first = !request.was_sent();
        if let Some(bucket) = self.quotas.local.get_mut(&request.customer()) {
            bucket.attempt_sent(now, request.units(), first);
        }
        if first {
            self.retry_budget.first_attempt_sent();
        }
        let number = request.attempt_sent(server_id);
        let attempt = request.attempt_record(server_id, now, server_in_flight);
        self.attempts.insert(
            AttemptKey {
                request: id.clone(),
                number,
            },
            attempt,
        );
        self.requests.dequeue(&id);
        actions.push(Action::SendAttempt {
            id,
            server: server_id,
            timeout: None,
        });
    }

    pub(super) fn on_attempt_finished(
        &mut self,
        now: Timestamp,
        id: RequestId,
        number: AttemptNumber,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let outcome = result.outcome;
        let Some(attempt) = self.remove_attempt(&AttemptKey {
            request: id.clone(),
            number,
        }) else {
            return;
        };
        let was_cancelled = self
            .requests
            .get(&id)
            .is_some_and(Request::is_cancelled_or_streaming);
        let was_stalled = was_cancelled && outcome == AttemptOutcome::Cancelled;
        self.servers.observe_attempt(
            now,
            &self.deployment,
            &attempt,
            &result,
            was_stalled,
            &mut self.random,
        );
        if outcome == AttemptOutcome::Success {
            self.observe_success(now, &attempt);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempt_finished(outcome);
        if result.closed {
            return self.remove_request(&id, actions);
        }
        if outcome.may_have_executed() && request.possible_execution().is_none() {
            let endpoint = self.servers.endpoint(&attempt.server);
            request.possibly_executed(endpoint.map(|endpoint| PossibleExecution {
                endpoint,
                sent_at: attempt.sent_at,
            }));
        }
        self.retry_or_answer(now, id, outcome, actions);
    }

    fn retry_or_answer(
        &mut self,
        now: Timestamp,
        id: RequestId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match retry::decide(self.context(now), request, outcome, &self.retry_budget) {
            RetryDecision::Retry => {
                self.retry_budget.charge(outcome);
                self.requests.enqueue(id);
            }
            RetryDecision::GiveUp => {
                self.reject_or_fail(now, &id, RejectReason::RetriesExhausted, actions);
            }
            RetryDecision::AwaitDeadline => {}
        }
    }

    fn remove_attempt(&mut self, key: &AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        self.servers.record_attempt_finished(&attempt.server);
        if let Some(bucket) = self.quotas.local.get_mut(&attempt.customer) {
            bucket.attempt_finished();
        }
        Some(attempt)
    }

    fn observe_success(&mut self, now: Timestamp, attempt: &Attempt) {
        self.servers.estimates_mut().count_answer();
        let class = &self.deployment.settings.classes[attempt.class.0];
        let latency = now.micros_since(attempt.eligible_since);
        self.latencies
            .of(attempt.class)
            .add(latency / class.latency_objective.as_micros_f64().max(1.0));
    }
}
