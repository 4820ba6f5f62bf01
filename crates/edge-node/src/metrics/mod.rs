//! Metrics for the operator's monitoring. Label values are outcomes and names from the settings,
//! never customers, servers or requests, so that the number of time series is bounded.

mod gauges;
mod outcome;

pub(crate) use gauges::StatusSnapshot;
pub(crate) use outcome::{CloseReason, RequestOutcome};

use gateway_core::settings::ResolvedSettings;
use gateway_core::{AttemptOutcome, ClassId, PlanId};
use gauges::Gauges;
use outcome::{attempt_label, ATTEMPT_OUTCOMES};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Metric, Registry};
use std::fmt;
use std::time::Duration;

/// Prefix of the name of each metric.
const NAME_PREFIX: &str = "edge_node";
/// Upper bound of the first latency bucket in seconds.
const FIRST_LATENCY_BUCKET_SECONDS: f64 = 0.001;
/// Ratio of the upper bounds of two successive latency buckets.
const LATENCY_BUCKET_FACTOR: f64 = 2.0;
/// Number of latency buckets with a finite upper bound.
const LATENCY_BUCKETS: u16 = 14;

type Labels = Vec<(&'static str, String)>;

/// One counter per outcome of a request, in the order of [`RequestOutcome::ALL`].
type OutcomeCounters = [Counter; RequestOutcome::ALL.len()];

/// All metrics of this process. Every time series is created at startup, so that recording an event
/// does not look up labels.
pub(crate) struct Metrics {
    registry: Registry,
    /// Counters of ended requests, indexed by class, then plan.
    requests: Vec<Vec<OutcomeCounters>>,
    /// Histograms of request durations in seconds, indexed by class.
    request_durations: Vec<Histogram>,
    /// Counters of ended attempts, in the order of [`ATTEMPT_OUTCOMES`].
    attempts: [Counter; ATTEMPT_OUTCOMES.len()],
    /// Counters of closed client connections, in the order of [`CloseReason::ALL`].
    closed_connections: [Counter; CloseReason::ALL.len()],
    watch_resets: Counter,
    datagrams_sent: Counter,
    datagrams_received: Counter,
    gauges: Gauges,
}

impl Metrics {
    /// Registers all metrics, with a time series for each class and plan of the settings.
    pub(crate) fn new(settings: &ResolvedSettings) -> Metrics {
        let mut registry = Registry::with_prefix(NAME_PREFIX);
        // The encoded text lists the metrics in the order of these registrations.
        Metrics {
            requests: register_requests(&mut registry, settings),
            request_durations: register_request_durations(&mut registry, settings),
            attempts: register_attempts(&mut registry),
            closed_connections: register_closed_connections(&mut registry),
            watch_resets: register(
                &mut registry,
                "watch_resets",
                "Discovery watches that ended",
            ),
            datagrams_sent: register(&mut registry, "datagrams_sent", "Datagrams sent to peers"),
            datagrams_received: register(
                &mut registry,
                "datagrams_received",
                "Datagrams received from peers",
            ),
            gauges: Gauges::register(&mut registry),
            registry,
        }
    }

    /// Records that a request has ended. `duration` is the time since the request was received
    /// completely; for an abandoned request, it is ignored.
    pub(crate) fn record_request(
        &self,
        class: ClassId,
        plan: PlanId,
        outcome: RequestOutcome,
        duration: Duration,
    ) {
        let counters = self
            .requests
            .get(class.0)
            .and_then(|plans| plans.get(plan.0));
        if let Some(counters) = counters {
            increment(counters, &RequestOutcome::ALL, outcome);
        }
        if outcome == RequestOutcome::Abandoned {
            return;
        }
        if let Some(histogram) = self.request_durations.get(class.0) {
            histogram.observe(duration.as_secs_f64());
        }
    }

    /// Counts an ended attempt by its outcome.
    pub(crate) fn record_attempt(&self, outcome: AttemptOutcome) {
        increment(&self.attempts, &ATTEMPT_OUTCOMES, outcome);
    }

    /// Counts a client connection that is closed, by the reason.
    pub(crate) fn record_closed_connection(&self, reason: CloseReason) {
        increment(&self.closed_connections, &CloseReason::ALL, reason);
    }

    /// Records that a watch on discovery has ended.
    pub(crate) fn record_watch_reset(&self) {
        self.watch_resets.inc();
    }

    /// Returns all metrics in the `OpenMetrics` text format. `uptime` is the time since the start
    /// of the process.
    ///
    /// # Errors
    /// Returns an error if a value cannot be encoded, which is not known to happen.
    pub(crate) fn encode(
        &self,
        status: &StatusSnapshot,
        uptime: Duration,
    ) -> Result<String, fmt::Error> {
        self.gauges.set(status, uptime);
        raise_to(&self.datagrams_sent, status.datagrams_sent);
        raise_to(&self.datagrams_received, status.datagrams_received);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

fn register<M: Metric + Clone + Default>(registry: &mut Registry, name: &str, help: &str) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

fn register_requests(
    registry: &mut Registry,
    settings: &ResolvedSettings,
) -> Vec<Vec<OutcomeCounters>> {
    let family: Family<Labels, Counter> =
        register(registry, "requests", "Client requests that ended");
    let counters = |class: &String, plan: &String| {
        RequestOutcome::ALL.map(|outcome| {
            let labels = vec![
                ("class", class.clone()),
                ("plan", plan.clone()),
                ("outcome", outcome.label().to_owned()),
            ];
            family.get_or_create_owned(&labels)
        })
    };
    let by_plan = |class| {
        settings
            .plan_names
            .iter()
            .map(|plan| counters(class, plan))
            .collect()
    };
    settings.class_names.iter().map(by_plan).collect()
}

fn register_request_durations(
    registry: &mut Registry,
    settings: &ResolvedSettings,
) -> Vec<Histogram> {
    let new_histogram: fn() -> Histogram = || {
        let buckets = exponential_buckets(
            FIRST_LATENCY_BUCKET_SECONDS,
            LATENCY_BUCKET_FACTOR,
            LATENCY_BUCKETS,
        );
        Histogram::new(buckets)
    };
    let family = Family::<Labels, Histogram>::new_with_constructor(new_histogram);
    let help = "Seconds from a complete request to its final answer";
    registry.register("request_duration_seconds", help, family.clone());
    let by_class = |class: &String| family.get_or_create_owned(&vec![("class", class.clone())]);
    settings.class_names.iter().map(by_class).collect()
}

fn register_attempts(registry: &mut Registry) -> [Counter; ATTEMPT_OUTCOMES.len()] {
    let family: Family<Labels, Counter> =
        register(registry, "attempts", "Attempts at servers that ended");
    ATTEMPT_OUTCOMES.map(|outcome| {
        let labels = vec![("outcome", attempt_label(outcome).to_owned())];
        family.get_or_create_owned(&labels)
    })
}

fn register_closed_connections(registry: &mut Registry) -> [Counter; CloseReason::ALL.len()] {
    let help = "Client connections that were closed";
    let family: Family<Labels, Counter> = register(registry, "client_connections_closed", help);
    CloseReason::ALL.map(|reason| {
        let labels = vec![("reason", reason.label().to_owned())];
        family.get_or_create_owned(&labels)
    })
}

/// Increments the counter at the position that `outcome` has in `outcomes`.
fn increment<T: PartialEq>(counters: &[Counter], outcomes: &[T], outcome: T) {
    let index = outcomes.iter().position(|listed| *listed == outcome);
    if let Some(counter) = index.and_then(|index| counters.get(index)) {
        counter.inc();
    }
}

/// Raises a counter to `total`, which is counted elsewhere. Never lowers the counter.
fn raise_to(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

#[cfg(test)]
#[path = "../../tests/unit/metrics.rs"]
mod tests;
