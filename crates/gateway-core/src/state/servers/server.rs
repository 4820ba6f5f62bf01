//! The state of one server at a gateway: its endpoint, load and health.

use super::class_health::ClassHealth;
use super::slow_start_credit::SlowStartCredit;
use crate::message::HealthReport;
use crate::settings::ServerRules;
use crate::time::{DurationExt, Timestamp};
use crate::types::{ClassId, Endpoint, EndpointState, ServerId};
use std::time::Duration;

/// A tracked server: its entry on the endpoint list, its load and its health.
#[derive(Default)]
pub(crate) struct Server {
    pub(super) endpoint: Endpoint,
    /// Number of this gateway's attempts in flight at the server.
    pub(super) in_flight: u32,
    /// Estimated latency per concurrent request in µs; 0 while unknown.
    latency_us: f64,
    /// When the newest sample of the latency was observed, by this gateway or a peer; before the
    /// first sample, when the server was added.
    latency_observed_at: Timestamp,
    /// When the server last answered a request of any class; the epoch if never.
    answered_at: Timestamp,
    /// The health with each class, indexed by class.
    pub(super) health: Vec<ClassHealth>,
    /// Number of attempts that may be sent while the server warms up.
    pub(super) slow_start_credit: SlowStartCredit,
    /// Number of requests in flight that the server reported most recently; `None` if it never did.
    reported_load: Option<f64>,
    /// When `reported_load` was reported; the epoch if never.
    load_reported_at: Timestamp,
    /// Number of consecutive attempts that could not connect.
    consecutive_connect_failures: u32,
    /// When the connect backoff ends; the epoch if there is none.
    connect_backoff_until: Timestamp,
    /// When this gateway last used the server, or received a health report on it.
    pub(super) last_used_at: Timestamp,
}

/// Parameters of the connect backoff, during which a server receives no attempts because recent
/// attempts could not connect.
#[derive(Clone, Copy)]
pub(crate) struct ConnectBackoff {
    /// Duration of the backoff after the first attempt that could not connect.
    pub(crate) initial: Duration,
    /// Maximum number of times that the backoff doubles with consecutive connect failures.
    pub(crate) max_doublings: u32,
}

impl Server {
    /// Creates a server that has not been observed yet.
    pub(crate) fn unknown(endpoint: Endpoint, now: Timestamp, classes: usize) -> Self {
        Server {
            endpoint,
            latency_observed_at: now,
            last_used_at: now,
            health: vec![ClassHealth::default(); classes],
            ..Server::default()
        }
    }

    /// Returns the server with this number of attempts in flight. A server that has restarted keeps
    /// the number, because its attempts are in flight until their ends are reported.
    pub(super) fn with_in_flight(self, in_flight: u32) -> Self {
        Server { in_flight, ..self }
    }

    pub(crate) fn id(&self) -> ServerId {
        self.endpoint.server
    }

    /// Returns the server's entry on the endpoint list.
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns whether the endpoint list marks the server as ready for new requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Returns the number of this gateway's attempts in flight at the server.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the server's health with a class.
    pub(crate) fn class_health(&self, class: ClassId) -> &ClassHealth {
        &self.health[class.0]
    }

    /// Returns a mutable reference to the server's health with a class.
    pub(crate) fn class_health_mut(&mut self, class: ClassId) -> &mut ClassHealth {
        &mut self.health[class.0]
    }

    /// Iterates mutably over the server's health with each class.
    pub(crate) fn iter_health_mut(&mut self) -> impl Iterator<Item = (ClassId, &mut ClassHealth)> {
        let health = self.health.iter_mut().enumerate();
        health.map(|(class, health)| (ClassId(class), health))
    }

    /// Returns whether the server is ejected for at least one class.
    pub(crate) fn is_ejected_for_any_class(&self) -> bool {
        self.health.iter().any(ClassHealth::is_ejected)
    }

    /// Records that an attempt was sent, which takes slow-start credit. If the server is ejected
    /// for the class, the attempt is a probe, and the next probe may be sent from `next_probe_at`
    /// on.
    pub(crate) fn record_attempt_sent(&mut self, class: ClassId, next_probe_at: Timestamp) {
        self.in_flight += 1;
        self.slow_start_credit.take_attempt();
        self.health[class.0].record_attempt_sent(next_probe_at);
    }

    /// Records that an attempt is no longer in flight.
    pub(super) fn record_attempt_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns when the server last answered a request of any class; the epoch if never.
    pub(crate) fn answered_at(&self) -> Timestamp {
        self.answered_at
    }

    /// Records that the server answered a request of a class.
    pub(crate) fn record_answer(&mut self, now: Timestamp, class: ClassId) {
        self.answered_at = now;
        self.health[class.0].record_answer(now);
    }

    /// Returns the estimated latency per concurrent request in µs, as of the latest observation;
    /// `None` while unknown.
    pub(crate) fn observed_latency_us(&self) -> Option<f64> {
        Some(self.latency_us).filter(|latency_us| *latency_us > 0.0)
    }

    /// Returns the estimated latency per concurrent request in µs, decayed up to now: in each
    /// half-life, the estimate moves halfway towards that of the fleet. `None` while unknown.
    pub(crate) fn decayed_latency_us(
        &self,
        now: Timestamp,
        fleet_latency_us: f64,
        half_life_us: f64,
    ) -> Option<f64> {
        let latency_us = self.observed_latency_us()?;
        let elapsed_us = now.micros_since(self.latency_observed_at);
        let remaining = remaining_fraction(elapsed_us, half_life_us);
        Some(latency_us * remaining + fleet_latency_us * (1.0 - remaining))
    }

    /// Replaces the estimated latency with its value decayed up to now, as returned by
    /// [`decayed_latency_us`](Self::decayed_latency_us).
    pub(crate) fn decay_latency(
        &mut self,
        now: Timestamp,
        fleet_latency_us: f64,
        half_life_us: f64,
    ) {
        let decayed = self.decayed_latency_us(now, fleet_latency_us, half_life_us);
        self.latency_us = decayed.unwrap_or(0.0);
    }

    /// Merges a sample of the latency per concurrent request, observed at `at`, into the estimate,
    /// by `weight`. `initial_us` is the estimate before the first sample.
    pub(crate) fn observe_latency(
        &mut self,
        at: Timestamp,
        sample_us: f64,
        weight: f64,
        initial_us: f64,
    ) {
        let previous_us = self.observed_latency_us().unwrap_or(initial_us);
        self.latency_us = previous_us + (sample_us - previous_us) * weight;
        self.latency_observed_at = self.latency_observed_at.max(at);
    }

    /// Merges a peer's health report on a class if the report is newer than the newest observation
    /// with that class. Returns whether the report was merged.
    pub(crate) fn merge_report(
        &mut self,
        now: Timestamp,
        report: &HealthReport,
        weight: f64,
        initial_latency_us: f64,
    ) -> bool {
        let observed_at = now - report.age;
        let Some(health) = self.health.get_mut(report.class.0) else {
            return false;
        };
        if observed_at <= health.observed_at() {
            return false;
        }
        health.record_observation(observed_at);
        health.observe_failure_rate(report.failure_rate, weight);
        self.observe_latency(observed_at, report.latency_us, weight, initial_latency_us);
        self.observe_load(observed_at, report.load);
        true
    }

    /// Returns the number of requests in flight that the server reported most recently; `None` if
    /// it never did.
    pub(crate) fn reported_load(&self) -> Option<f64> {
        self.reported_load
    }

    /// Returns the reported number of requests in flight, if it was reported at most `max_age` ago.
    pub(crate) fn recent_load(&self, now: Timestamp, max_age: Duration) -> Option<f64> {
        let is_recent = now <= self.load_reported_at + max_age;
        self.reported_load.filter(|_| is_recent)
    }

    /// Records the number of requests in flight that the server reported at `at`. A report that is
    /// older than the newest one is ignored.
    pub(crate) fn observe_load(&mut self, at: Timestamp, load: Option<f64>) {
        if load.is_some() && at >= self.load_reported_at {
            self.reported_load = load;
            self.load_reported_at = at;
        }
    }

    /// Returns the load factor: requests in flight, plus one, per unit of the server's weight. A
    /// weight below 1 counts as 1.
    pub(crate) fn load_factor(&self, in_flight: f64) -> f64 {
        (in_flight + 1.0) / self.endpoint.weight.max(1.0)
    }

    /// Returns the reported load factor, decayed up to now: in each half-life, it moves halfway
    /// towards that of the fleet. `None` if no load was reported.
    pub(crate) fn decayed_load_factor(
        &self,
        now: Timestamp,
        fleet_load_factor: f64,
        half_life_us: f64,
    ) -> Option<f64> {
        let elapsed_us = now.micros_since(self.load_reported_at);
        let remaining = remaining_fraction(elapsed_us, half_life_us);
        let reported = self.load_factor(self.reported_load?);
        Some(reported * remaining + fleet_load_factor * (1.0 - remaining))
    }

    /// Returns whether the server receives no attempts now because recent attempts could not
    /// connect.
    pub(crate) fn is_in_connect_backoff(&self, now: Timestamp) -> bool {
        self.connect_backoff_until > now
    }

    /// Records whether an attempt could connect. The backoff doubles with each consecutive connect
    /// failure, up to `max_doublings` times, and ends with a successful connect.
    pub(crate) fn observe_connect(
        &mut self,
        now: Timestamp,
        is_unreachable: bool,
        backoff: ConnectBackoff,
    ) {
        if is_unreachable {
            let doublings = self.consecutive_connect_failures.min(backoff.max_doublings);
            self.consecutive_connect_failures += 1;
            self.connect_backoff_until = now + backoff.initial * (1 << doublings);
        } else {
            self.consecutive_connect_failures = 0;
            self.connect_backoff_until = Timestamp::EPOCH;
        }
    }

    /// Updates the failure rate of a class, by `weight`, with an attempt that did or did not fail.
    /// The failure rates of the other classes are updated by the fraction `other_class_fraction`
    /// of the weight.
    pub(crate) fn observe_failure(
        &mut self,
        class: ClassId,
        has_failed: bool,
        weight: f64,
        other_class_fraction: f64,
    ) {
        let sample = f64::from(u8::from(has_failed));
        for (other, health) in self.iter_health_mut() {
            let weight = if other == class {
                weight
            } else {
                weight * other_class_fraction
            };
            health.observe_failure_rate(sample, weight);
        }
    }

    /// Returns whether the server has slow-start credit for one more attempt.
    pub(crate) fn has_slow_start_credit(&self) -> bool {
        self.slow_start_credit.covers_attempt()
    }

    /// Returns the minimum fraction of its full capacity that the server has. It rises linearly
    /// over the warm-up period, from `warm_up_from` to 1; without a start time it is 1.
    pub(crate) fn warm_up_fraction(&self, rules: &ServerRules, now: Timestamp) -> f64 {
        let Some(started_at) = self.endpoint.started_at else {
            return 1.0;
        };
        let progress = now.micros_since(started_at) / rules.warm_up_period.as_micros_f64().max(1.0);
        (rules.warm_up_from + (1.0 - rules.warm_up_from) * progress).min(1.0)
    }

    /// Returns whether the server has completed its warm-up.
    pub(crate) fn is_warm(&self, rules: &ServerRules, now: Timestamp) -> bool {
        self.warm_up_fraction(rules, now) >= 1.0
    }
}

/// Returns the weight, from 0 to 1, that an observation still has after `elapsed_us`.
fn remaining_fraction(elapsed_us: f64, half_life_us: f64) -> f64 {
    0.5f64.powf(elapsed_us / half_life_us)
}

#[cfg(test)]
#[path = "../../../tests/unit/server.rs"]
mod tests;
