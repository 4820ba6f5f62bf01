//! What a gateway knows of one server.

use crate::message::HealthReport;
use crate::settings::Rules;
use crate::statistics::update_mean;
use crate::time::{DurationExt, Timestamp};
use crate::types::{ClassId, Endpoint, EndpointState};
use std::time::Duration;

/// A server and how it fares.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) endpoint: Endpoint,
    /// Attempts of this gateway in flight.
    pub(crate) in_flight: u32,
    /// µs of wait that one place here costs, 0 while unknown, and when that was last observed.
    wait: f64,
    wait_observed_at: Timestamp,
    pub(crate) answered_at: Timestamp,
    /// By class.
    pub(crate) health: Vec<ClassHealth>,
    /// Attempts that may be sent while it warms up.
    pub(crate) slow_start_credit: f64,
    /// Requests in flight that it last reported, and when it did.
    pub(crate) reported_load: Option<f64>,
    pub(crate) load_reported_at: Timestamp,
    /// Attempts on end that found no connection, and until when it is left alone for that.
    failed_connects: u32,
    pub(crate) connect_backoff_until: Timestamp,
    /// When it was last used or heard of.
    pub(crate) last_used_at: Timestamp,
}

/// How a server fares with one class.
#[derive(Clone, Default)]
pub(crate) struct ClassHealth {
    pub(crate) failure_rate: f64,
    pub(crate) answered_at: Timestamp,
    /// Set while it is ejected: when the next half-open probe may be sent.
    pub(crate) next_probe_at: Option<Timestamp>,
    /// When the newest observation was made, here or elsewhere.
    pub(crate) observed_at: Timestamp,
    /// What the server index holds of this.
    pub(crate) indexed: IndexedHealth,
}

/// Steps of a failure rate in the sum over all servers: as whole numbers, so that no rounding error adds up.
pub(crate) const FAILURE_RATE_STEPS: f64 = (1u64 << 32) as f64;

/// What the server index holds of a server's health with one class.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct IndexedHealth {
    pub(crate) next_probe_at: Option<Timestamp>,
    pub(crate) failure_rate_steps: u64,
    pub(crate) observed_at: Timestamp,
}

impl From<&ClassHealth> for IndexedHealth {
    fn from(health: &ClassHealth) -> Self {
        IndexedHealth {
            next_probe_at: health.next_probe_at,
            failure_rate_steps: (health.failure_rate * FAILURE_RATE_STEPS).round() as u64,
            observed_at: health.observed_at,
        }
    }
}

impl ClassHealth {
    pub(crate) fn is_ejected(&self) -> bool {
        self.next_probe_at.is_some()
    }
}

/// How long a server is left alone after an attempt that found no connection.
#[derive(Clone, Copy)]
pub(crate) struct ConnectBackoff {
    /// µs after the first such attempt.
    pub(crate) first: Duration,
    /// How often that is doubled at the most.
    pub(crate) max_doublings: u32,
}

impl Server {
    /// A server of which nothing is known but its entry on the list.
    pub(crate) fn unknown(endpoint: Endpoint, now: Timestamp, classes: usize) -> Self {
        Server {
            endpoint,
            wait_observed_at: now,
            last_used_at: now,
            health: vec![ClassHealth::default(); classes],
            ..Server::default()
        }
    }

    /// The same server with attempts in flight, which a restart of its process does not end.
    pub(crate) fn with_in_flight(self, in_flight: u32) -> Self {
        Server { in_flight, ..self }
    }

    /// The wait as last observed; `None` while unknown.
    pub(crate) fn known_wait(&self) -> Option<f64> {
        Some(self.wait).filter(|wait| *wait > 0.0)
    }

    /// The wait by now: what was observed fades to the fleet's, halfway in each half-life. `None` while
    /// unknown.
    pub(crate) fn faded_wait(
        &self,
        now: Timestamp,
        fleet_wait: f64,
        half_life: f64,
    ) -> Option<f64> {
        let wait = self.known_wait()?;
        let keep = half_life_decay(now.micros_since(self.wait_observed_at), half_life);
        Some(wait * keep + fleet_wait * (1.0 - keep))
    }

    /// Lets the known wait fade to the fleet's before a new sample is taken in.
    pub(crate) fn fade_wait(&mut self, now: Timestamp, fleet_wait: f64, half_life: f64) {
        self.wait = self.faded_wait(now, fleet_wait, half_life).unwrap_or(0.0);
    }

    /// Takes in a sample of the wait; `unknown` stands for the mean while there is none.
    pub(crate) fn observe_wait(&mut self, at: Timestamp, sample: f64, weight: f64, unknown: f64) {
        let before = self.known_wait().unwrap_or(unknown);
        self.wait = before + (sample - before) * weight;
        self.wait_observed_at = self.wait_observed_at.max(at);
    }

    /// Takes in a health report if it is newer than what is known, and returns whether it was.
    pub(crate) fn merge_report(
        &mut self,
        now: Timestamp,
        report: &HealthReport,
        weight: f64,
        unknown_wait: f64,
    ) -> bool {
        let observed_at = now - report.age;
        let Some(health) = self.health.get_mut(report.class.0) else {
            return false;
        };
        if observed_at <= health.observed_at {
            return false;
        }
        health.observed_at = observed_at;
        update_mean(&mut health.failure_rate, report.failure_rate, weight);
        self.observe_wait(observed_at, report.wait, weight, unknown_wait);
        self.observe_load(observed_at, report.load);
        true
    }

    /// Takes in how many requests it had in flight; an older report than the newest is ignored.
    pub(crate) fn observe_load(&mut self, at: Timestamp, load: Option<f64>) {
        if load.is_some() && at >= self.load_reported_at {
            self.reported_load = load;
            self.load_reported_at = at;
        }
    }

    /// Load factor: requests in flight for each unit of its capacity, with one more.
    pub(crate) fn load_factor(&self, in_flight: f64) -> f64 {
        (in_flight + 1.0) / self.endpoint.weight.max(1.0)
    }

    /// The reported load factor, which fades to the fleet's, halfway in each half-life.
    pub(crate) fn faded_load_factor(
        &self,
        now: Timestamp,
        fleet_factor: f64,
        half_life: f64,
    ) -> Option<f64> {
        let keep = half_life_decay(now.micros_since(self.load_reported_at), half_life);
        Some(self.load_factor(self.reported_load?) * keep + fleet_factor * (1.0 - keep))
    }

    /// Takes in whether an attempt found a connection. The backoff doubles with each one that does not.
    pub(crate) fn observe_connect(
        &mut self,
        now: Timestamp,
        unreachable: bool,
        backoff: ConnectBackoff,
    ) {
        if unreachable {
            let pause = backoff.first * (1 << self.failed_connects.min(backoff.max_doublings));
            self.failed_connects += 1;
            self.connect_backoff_until = now + pause;
        } else {
            self.failed_connects = 0;
            self.connect_backoff_until = Timestamp::EPOCH;
        }
    }

    /// Takes in whether an attempt of a class failed. `other_share`: part of the weight that counts for other
    /// classes.
    pub(crate) fn observe_failure(
        &mut self,
        class: ClassId,
        failed: bool,
        weight: f64,
        other_share: f64,
    ) {
        for (other, health) in self.health.iter_mut().enumerate() {
            let weight = if other == class.0 {
                weight
            } else {
                weight * other_share
            };
            update_mean(
                &mut health.failure_rate,
                f64::from(u8::from(failed)),
                weight,
            );
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Least share of its capacity that it has by now: 1 once it is warm.
    pub(crate) fn warm_up_fraction(&self, rules: &Rules, now: Timestamp) -> f64 {
        let Some(started_at) = self.endpoint.started_at else {
            return 1.0;
        };
        let age = now.micros_since(started_at) / rules.warm_up_period.as_micros_f64().max(1.0);
        (rules.warm_up_from + (1.0 - rules.warm_up_from) * age).min(1.0)
    }

    pub(crate) fn is_warm(&self, rules: &Rules, now: Timestamp) -> bool {
        self.warm_up_fraction(rules, now) >= 1.0
    }
}

/// What is left of a weight after some µs.
fn half_life_decay(elapsed: f64, half_life: f64) -> f64 {
    0.5f64.powf(elapsed / half_life)
}

#[cfg(test)]
#[path = "../../tests/unit/server.rs"]
mod tests;
