//! What attempts tell of the health of servers, and what follows when one fails or stalls.

use super::attempts::AttemptResult;
use super::Gateway;
use crate::policy::outlier_detection as outliers;
use crate::policy::retry;
use crate::state::attempt::{Attempt, AttemptKey};
use crate::state::deployment::{Context, FleetMode};
use crate::statistics::update_mean;
use crate::time::Timestamp;
use crate::types::{AttemptOutcome, ClassId, ServerId};
use crate::warning::Warning;
use crate::Action;

struct StalledAttempt {
    key: AttemptKey,
    server: ServerId,
    class: ClassId,
    sent_at: Timestamp,
}

impl Gateway {
    /// Takes in what an attempt tells of its server, its zone and the fleet. `was_stalled`: it was cancelled
    /// as stalled.
    pub(super) fn observe_attempt(
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

    pub(super) fn next_probe_at(&mut self, now: Timestamp) -> Timestamp {
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
            if retry::cancels_stalled(&self.deployment, request, &self.retry_budget) {
                request.attempt_cancelled();
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
