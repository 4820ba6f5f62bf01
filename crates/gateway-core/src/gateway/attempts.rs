//! Attempts: sending queued requests, and what is learned from how attempts end.

use super::Gateway;
use crate::policy::load_balancing::Balancer;
use crate::policy::outlier_detection as outliers;
use crate::policy::retry::{self, RetryDecision};
use crate::policy::{admission, quota};
use crate::state::attempt::{Attempt, AttemptKey};
use crate::state::deployment::{Context, FleetMode};
use crate::state::request::PossibleExecution;
use crate::state::server_view::FleetCapacity;
use crate::statistics::update_mean;
use crate::time::{DurationExt, Timestamp};
use crate::types::{AttemptNumber, AttemptOutcome, ClassId, RejectReason, RequestId, ServerId};
use crate::warning::Warning;
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

struct StalledAttempt {
    key: AttemptKey,
    server: ServerId,
    class: ClassId,
    sent_at: Timestamp,
}

impl Gateway {
    /// Sends queued requests, the highest priority first, while servers have capacity.
    pub(super) fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.requests.is_queue_empty() {
            return;
        }
        let mut selectable = self.selectable_servers(now);
        if selectable.is_empty() {
            return; // in a jam, sorting the queue at each event would use up the processor
        }
        let lowest_class = self.deployment.lowest_class;
        let mut lowest_in_flight = self.attempts.count_of(lowest_class);
        for id in self.queue_by_priority(now) {
            if selectable.is_empty() {
                break;
            }
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let is_lowest = request.class == lowest_class;
            let is_limited = is_lowest
                && !self
                    .controller
                    .allows(lowest_in_flight, now, self.fleet.mean_latency);
            let context = Context {
                now,
                deployment: &self.deployment,
                fleet: &self.fleet,
            };
            if request.attempts == 0 && !quota::allows_attempt(&mut self.quotas, context, request) {
                // Its customer's own limit delays it: taken for pressed servers, that would close the
                // in-flight limit.
                request.due_since = now;
                continue;
            }
            if is_limited {
                continue;
            }
            let Some(server) = self.pick_server(now, &id, &selectable) else {
                continue;
            };
            if is_lowest {
                lowest_in_flight += 1.0;
                self.controller.consume_pacing_token();
            }
            self.send_attempt(now, id, server, actions);
            selectable = if self.requests.is_queue_empty() {
                Vec::new()
            } else {
                self.selectable_servers(now)
            };
        }
    }

    fn queue_by_priority(&self, now: Timestamp) -> Vec<RequestId> {
        let context = self.context(now);
        let queued = self.requests.queued();
        let mut order: Vec<_> = queued
            .map(|(id, request)| (admission::priority(context, request), id.clone()))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Servers that may be chosen from now: ready and with capacity. Of too many to be walked, a sample.
    fn selectable_servers(&mut self, now: Timestamp) -> Vec<ServerId> {
        let context = Context {
            now,
            deployment: &self.deployment,
            fleet: &self.fleet,
        };
        let balancer = Balancer::new(context, &self.servers);
        let valid_until = self.timers.next_control_tick;
        let capacity = &mut self.capacity;
        let fleet_capacity = || {
            // Where not all servers are walked it is summed anew once a control tick.
            if self.servers.walks_all() || now >= capacity.valid_until {
                *capacity = FleetCapacity {
                    attempts: balancer.fleet_capacity(),
                    valid_until,
                };
            }
            capacity.attempts
        };
        if balancer.is_full(self.attempts.count(), fleet_capacity) {
            return Vec::new();
        }
        if self.servers.walks_all() {
            return balancer.all_with_capacity();
        }
        self.sample_servers(now, None)
    }

    /// A sample of servers, which are tracked from now on; of those that a request may stay with, if one is
    /// named.
    fn sample_servers(&mut self, now: Timestamp, only: Option<&RequestId>) -> Vec<ServerId> {
        let request = only.and_then(|id| self.requests.get(id));
        let context = Context {
            now,
            deployment: &self.deployment,
            fleet: &self.fleet,
        };
        let found = Balancer::new(context, &self.servers).sample(request, &mut self.random);
        for candidate in found.iter().filter(|candidate| !candidate.tracked) {
            self.servers.track(now, &candidate.server);
        }
        found
            .into_iter()
            .map(|candidate| candidate.server)
            .collect()
    }

    fn pick_server(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        selectable: &[ServerId],
    ) -> Option<ServerId> {
        let balancer = Balancer::new(self.context(now), &self.servers);
        let needs_own_sample = balancer.needs_own_sample(self.requests.get(id)?);
        let own_sample = needs_own_sample.then(|| self.sample_servers(now, Some(id)));
        let selectable = own_sample.as_deref().unwrap_or(selectable);
        let request = self.requests.get(id)?;
        let context = Context {
            now,
            deployment: &self.deployment,
            fleet: &self.fleet,
        };
        Balancer::new(context, &self.servers).pick(request, selectable, &mut self.random)
    }

    fn send_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        server_id: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let next_probe_at = self.next_probe_at(now);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(mut server) = self.servers.get_mut(now, &server_id) else {
            return;
        };
        let first = request.attempts == 0;
        if let Some(bucket) = self.quotas.local.get_mut(&request.customer) {
            bucket.attempt_sent(now, request.units, first);
        }
        if first {
            self.retry_budget = retry::earn(self.retry_budget);
        }
        server.in_flight += 1;
        server.slow_start_credit -= 1.0;
        if let Some(at) = &mut server.health[request.class.0].next_probe_at {
            *at = next_probe_at;
        }
        let number = request.attempt_sent(server_id);
        let attempt = request.attempt_record(server_id, now, f64::from(server.in_flight));
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
            .is_some_and(|request| request.cancelled);
        let was_stalled = was_cancelled && outcome == AttemptOutcome::Cancelled;
        self.observe_attempt(now, &attempt, &result, was_stalled);
        if outcome == AttemptOutcome::Success {
            self.observe_success(now, &attempt);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.in_flight = None;
        if result.closed {
            return self.remove_request(&id, actions);
        }
        request.cancelled = false;
        request.reached_server |= outcome.reached_server();
        if outcome.may_have_executed() && request.possibly_executed.is_none() {
            let server = self.servers.get(&attempt.server);
            request.possibly_executed = server.map(|server| PossibleExecution {
                endpoint: server.endpoint,
                sent_at: attempt.sent_at,
            });
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
        match retry::decide(self.context(now), request, outcome, self.retry_budget) {
            RetryDecision::Retry { cost } => {
                self.retry_budget -= cost;
                self.requests.enqueue(id);
            }
            RetryDecision::GiveUp => {
                self.reject_or_fail(now, &id, RejectReason::RetriesExhausted, actions);
            }
            RetryDecision::Wait => {}
        }
    }

    fn remove_attempt(&mut self, key: &AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        self.servers.attempt_finished(&attempt.server);
        if let Some(bucket) = self.quotas.local.get_mut(&attempt.customer) {
            bucket.attempt_finished();
        }
        Some(attempt)
    }

    fn observe_success(&mut self, now: Timestamp, attempt: &Attempt) {
        self.fleet.completed_since_tick += 1.0;
        let class = &self.deployment.settings.classes[attempt.class.0];
        let latency = now.micros_since(attempt.due_since);
        self.latencies
            .of(attempt.class)
            .add(latency / class.latency_objective.as_micros_f64().max(1.0));
    }

    /// Takes in what an attempt tells of its server, its zone and the fleet. `was_stalled`: it was cancelled
    /// as stalled.
    fn observe_attempt(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
        result: &AttemptResult,
        was_stalled: bool,
    ) {
        let latency = now.micros_since(attempt.sent_at);
        let Some(mut server) = self.servers.get_mut(now, &attempt.server) else {
            return;
        };
        server.observe_load(now, result.reported_load);
        if let (AttemptOutcome::Success, Some(load)) = (result.outcome, result.reported_load) {
            let alone = latency / server.load_factor(load - 1.0).max(1.0);
            update_mean(
                &mut self.fleet.service_time,
                alone,
                outliers::LATENCY_WEIGHT,
            );
        }
        if result.outcome == AttemptOutcome::NotSent {
            return;
        }
        let failed = outliers::is_failure(&server, attempt, result.outcome, was_stalled);
        server.observe_failure(
            attempt.class,
            failed,
            outliers::FAILURE_WEIGHT,
            outliers::OTHER_CLASS_SHARE,
        );
        let unreachable = result.outcome == AttemptOutcome::Unreachable;
        if let Some(backoff) = outliers::connect_backoff(self.deployment.mode, &mut self.random) {
            server.observe_connect(now, unreachable, backoff);
        }
        if outliers::tells_of_zone(&server, attempt.class, unreachable) {
            self.fleet
                .observe_zone(server.endpoint.zone, unreachable, outliers::ZONE_WEIGHT);
        }
        server.health[attempt.class.0].observed_at = now;
        let latency = outliers::counted_latency(&self.deployment, latency, failed);
        let context = Context {
            now,
            deployment: &self.deployment,
            fleet: &self.fleet,
        };
        outliers::observe_wait(&mut server, context, latency / attempt.server_in_flight);
        // Cancelled attempts count: without them a slow fleet would look fast, and its servers would be
        // ejected.
        update_mean(
            &mut self.fleet.mean_latency,
            latency,
            outliers::LATENCY_WEIGHT,
        );
        if result.outcome == AttemptOutcome::Success {
            outliers::observe_answer(&mut server, now, attempt.class);
        }
        drop(server); // the failure rates that decide on ejection have to hold this attempt
        if failed {
            self.update_ejection(now, attempt.server, attempt.class);
        }
    }

    /// Ejects a server for a class, or takes it back, by what is known of it.
    pub(super) fn update_ejection(&mut self, now: Timestamp, id: ServerId, class: ClassId) {
        let fleet_rate = self.servers.mean_failure_rate(class);
        let next_probe_at = self.next_probe_at(now);
        if let Some(mut server) = self.servers.get_mut(now, &id) {
            outliers::update_ejection(&mut server, class, fleet_rate, next_probe_at);
        }
    }

    fn next_probe_at(&mut self, now: Timestamp) -> Timestamp {
        now + outliers::probe_interval(&self.deployment, &mut self.random)
    }

    /// Ejects servers that take work and answer none, and cancels attempts at them whose requests may be
    /// retried.
    pub(super) fn detect_stalled_servers(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if outliers::is_late_timer(now, self.timers.wake_at) {
            return;
        }
        for stalled in self.stalled_attempts(now) {
            let next_probe_at = self.next_probe_at(now);
            let mode = self.deployment.mode;
            let Some(mut server) = self.servers.get_mut(now, &stalled.server) else {
                continue;
            };
            if !server.health[stalled.class.0].is_ejected() {
                server.health[stalled.class.0].observed_at = now;
                outliers::eject_stalled(
                    &mut server,
                    stalled.class,
                    stalled.sent_at,
                    mode,
                    next_probe_at,
                );
                // Hundreds of gateways would flood the log.
                if mode == FleetMode::Gossip {
                    actions.push(Action::Warn(Warning::ServerStalled {
                        server: stalled.server,
                    }));
                }
            }
            drop(server);
            let Some(request) = self.requests.get_mut(&stalled.key.request) else {
                continue;
            };
            if retry::cancels_stalled(&self.deployment, request, self.retry_budget) {
                request.cancelled = true;
                let AttemptKey {
                    request: id,
                    number: attempt,
                } = stalled.key;
                actions.push(Action::CancelAttempt { id, attempt });
            }
        }
    }

    fn stalled_attempts(&self, now: Timestamp) -> Vec<StalledAttempt> {
        let context = self.context(now);
        let is_stalled = |(_, attempt): &(&AttemptKey, &Attempt)| {
            let server = self.servers.get(&attempt.server);
            server.is_some_and(|server| outliers::is_stalled(context, server, attempt))
        };
        let stalled = self.attempts.iter().filter(is_stalled);
        let stalled = stalled.map(|(key, attempt)| StalledAttempt {
            key: key.clone(),
            server: attempt.server,
            class: attempt.class,
            sent_at: attempt.sent_at,
        });
        stalled.collect()
    }
}
