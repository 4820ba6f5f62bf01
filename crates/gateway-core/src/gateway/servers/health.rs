//! The health of servers, observed from the results of attempts and from attempts that a stalled
//! server does not answer.

use super::Servers;
use crate::gateway::attempts::AttemptResult;
use crate::policy::fleet_estimates::{LATENCY_WEIGHT, ZONE_WEIGHT};
use crate::policy::outlier_detection as outliers;
use crate::state::attempt::{Attempt, AttemptKey, AttemptTable};
use crate::state::deployment::Deployment;
use crate::state::servers::{FleetEstimates, Server};
use crate::time::Timestamp;
use crate::types::{AttemptOutcome, ClassId, ServerId};

/// An attempt in flight at a stalled server.
pub(in crate::gateway) struct StalledAttempt {
    /// The request and the number of the attempt.
    pub(in crate::gateway) key: AttemptKey,
    pub(in crate::gateway) server: ServerId,
    class: ClassId,
    /// When the attempt was sent.
    pub(in crate::gateway) sent_at: Timestamp,
}

/// Whether a stalled attempt ejected its server.
pub(in crate::gateway) enum StallEjection {
    /// The server is no longer tracked.
    UnknownServer,
    AlreadyEjected,
    /// The server was ejected because of this attempt.
    Ejected {
        /// Whether to warn operators.
        is_reported: bool,
    },
}

impl Servers {
    /// Updates the health of an attempt's server and the estimates of its zone and of the fleet
    /// with the result of the attempt. `was_cancelled_here` is whether this gateway cancelled the
    /// attempt as stalled while its request was open.
    pub(in crate::gateway) fn observe_attempt(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
        result: &AttemptResult,
        was_cancelled_here: bool,
        random: &mut fastrand::Rng,
    ) {
        let Some(mut server) = self.table.get_or_track(now, &attempt.server) else {
            return;
        };
        let latency_us = now.micros_since(attempt.sent_at);
        observe_load(&mut server, &mut self.estimates, now, latency_us, result);
        if result.outcome == AttemptOutcome::NotSent {
            return;
        }
        let class = attempt.class;
        let has_failed = outliers::is_failure(&server, attempt, result.outcome, was_cancelled_here);
        server.observe_failure(
            class,
            has_failed,
            outliers::FAILURE_WEIGHT,
            outliers::OTHER_CLASS_WEIGHT_FRACTION,
        );
        let is_unreachable = result.outcome == AttemptOutcome::Unreachable;
        if let Some(backoff) = self.outlier_detection.connect_backoff(random) {
            server.observe_connect(now, is_unreachable, backoff);
        }
        observe_zone(&server, &mut self.estimates, class, is_unreachable);
        server.class_health_mut(class).record_observation(now);
        let latency_us = outliers::counted_latency_us(&self.estimates, latency_us, has_failed);
        self.outlier_detection.observe_latency(
            &mut server,
            now,
            latency_us / attempt.server_in_flight,
            self.estimates.median_latency_us(),
        );
        // Cancelled attempts count: without them a slow fleet would look fast, and its servers
        // would be ejected.
        self.estimates.observe_latency(latency_us, LATENCY_WEIGHT);
        if result.outcome == AttemptOutcome::Success {
            outliers::observe_answer(&mut server, now, class);
        }
        drop(server); // updates the sum of failure rates that decides on ejection
        if has_failed {
            self.update_ejection(now, attempt.server, class, random);
        }
    }

    /// Ejects or readmits a server for a class, according to its failure rate.
    pub(super) fn update_ejection(
        &mut self,
        now: Timestamp,
        id: ServerId,
        class: ClassId,
        random: &mut fastrand::Rng,
    ) {
        let fleet_failure_rate = self.table.mean_failure_rate(class);
        let next_probe_at = self.next_probe_at(now, random);
        if let Some(mut server) = self.table.get_or_track(now, &id) {
            outliers::update_ejection(&mut server, class, fleet_failure_rate, next_probe_at);
        }
    }

    /// Returns when a server that is ejected or probed at `now` is probed next.
    pub(in crate::gateway) fn next_probe_at(
        &self,
        now: Timestamp,
        random: &mut fastrand::Rng,
    ) -> Timestamp {
        now + self.outlier_detection.probe_interval(random.f64())
    }

    /// Returns the attempts in flight whose servers are stalled.
    pub(in crate::gateway) fn stalled_attempts(
        &self,
        now: Timestamp,
        deployment: &Deployment,
        attempts: &AttemptTable,
    ) -> Vec<StalledAttempt> {
        let context = self.context(now, deployment);
        let is_stalled = |(_, attempt): &(&AttemptKey, &Attempt)| {
            let server = self.table.get(&attempt.server);
            server.is_some_and(|server| outliers::is_stalled(context, server, attempt))
        };
        attempts
            .iter()
            .filter(is_stalled)
            .map(|(key, attempt)| StalledAttempt {
                key: key.clone(),
                server: attempt.server,
                class: attempt.class,
                sent_at: attempt.sent_at,
            })
            .collect()
    }

    /// Ejects the server of a stalled attempt for the attempt's class.
    pub(in crate::gateway) fn eject_stalled(
        &mut self,
        now: Timestamp,
        stalled: &StalledAttempt,
        random: &mut fastrand::Rng,
    ) -> StallEjection {
        let next_probe_at = self.next_probe_at(now, random);
        let Some(mut server) = self.table.get_or_track(now, &stalled.server) else {
            return StallEjection::UnknownServer;
        };
        let health = server.class_health_mut(stalled.class);
        if health.is_ejected() {
            return StallEjection::AlreadyEjected;
        }
        health.record_observation(now);
        outliers::eject_stalled(
            &mut server,
            stalled.class,
            stalled.sent_at,
            self.outlier_detection.stall_failure_rate(),
            next_probe_at,
        );
        StallEjection::Ejected {
            is_reported: self.outlier_detection.warns_of_stalled_servers(),
        }
    }
}

/// Records the load that a server reported, and updates the fleet's estimate of the service time
/// without load, derived from the reported load and the latency of the attempt.
fn observe_load(
    server: &mut Server,
    estimates: &mut FleetEstimates,
    now: Timestamp,
    latency_us: f64,
    result: &AttemptResult,
) {
    server.observe_load(now, result.reported_load);
    if let (AttemptOutcome::Success, Some(load)) = (result.outcome, result.reported_load) {
        let service_time_us = latency_us / server.load_factor(load - 1.0).max(1.0);
        estimates.observe_service_time(service_time_us, LATENCY_WEIGHT);
    }
}

/// Updates the reachability of a server's zone with the result of an attempt.
fn observe_zone(
    server: &Server,
    estimates: &mut FleetEstimates,
    class: ClassId,
    is_unreachable: bool,
) {
    if outliers::reveals_zone_reachability(server, class, is_unreachable) {
        let zone = server.endpoint().zone;
        estimates.observe_zone(zone, is_unreachable, ZONE_WEIGHT);
    }
}
