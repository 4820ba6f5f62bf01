//! The figures that an operator's monitoring reads. Labels are names from the settings and outcomes: no customer,
//! server or request is among them, so that the number of series is bounded.

use gateway_core::settings::ResolvedSettings;
use gateway_core::{AttemptOutcome, ClassId, PlanId};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Metric, Registry};
use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// What the name of each metric begins with.
const NAME_PREFIX: &str = "edge_node";
/// Upper bound of the first latency bucket, in seconds.
const FIRST_LATENCY_BUCKET: f64 = 0.001;
/// Each latency bucket is so many times as wide as the one before.
const LATENCY_BUCKET_FACTOR: f64 = 2.0;
const LATENCY_BUCKETS: u16 = 14;

type Labels = Vec<(&'static str, String)>;
type GaugeF64 = Gauge<f64, AtomicU64>;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The client got a server's answer.
    Served,
    /// It was rejected, so that its client may safely retry.
    Rejected,
    /// No server could answer it.
    Failed,
    /// Its client disconnected, or its deadline passed.
    Abandoned,
}

impl RequestOutcome {
    const ALL: [RequestOutcome; 4] = [
        RequestOutcome::Served,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
        RequestOutcome::Abandoned,
    ];

    /// The word that stands for it in labels and in the log.
    pub(crate) fn label(self) -> &'static str {
        match self {
            RequestOutcome::Served => "served",
            RequestOutcome::Rejected => "refused",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Abandoned => "abandoned",
        }
    }
}

const ATTEMPT_OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Success,
    AttemptOutcome::ServerError,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

fn attempt_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Success => "ok",
        AttemptOutcome::ServerError => "error",
        AttemptOutcome::Overloaded => "full",
        AttemptOutcome::TimedOut => "timed_out",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::ConnectionLost => "broken",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NotSent => "not_sent",
    }
}

/// Figures that are read when they are asked for, and not counted as things happen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StatusSnapshot {
    /// Requests without a final answer.
    pub(crate) open_requests: usize,
    /// Connections of clients.
    pub(crate) client_connections: usize,
    /// Connections to servers.
    pub(crate) server_connections: usize,
    /// File descriptors that the process holds.
    pub(crate) open_descriptors: usize,
    /// Servers that the endpoint list calls ready.
    pub(crate) servers_ready: usize,
    /// Servers and customers that the decision module keeps state of.
    pub(crate) tracked_entries: usize,
    /// Time since the last endpoint list was applied; `None` before the first.
    pub(crate) list_age: Option<Duration>,
    /// Number of the last endpoint list; 0 before the first.
    pub(crate) list_sequence: u64,
    /// Datagrams sent to peers since the start.
    pub(crate) datagrams_sent: u64,
    /// Datagrams received from peers since the start.
    pub(crate) datagrams_received: u64,
}

/// One counter for each outcome of a request, in the order of [`RequestOutcome::ALL`].
type OutcomeCounters = [Counter; RequestOutcome::ALL.len()];

/// All metrics of this process. Series are made at the start, so that no event looks a label up.
pub(crate) struct Metrics {
    registry: Registry,
    /// By class and plan.
    requests: Vec<Vec<OutcomeCounters>>,
    /// By class.
    request_durations: Vec<Histogram>,
    /// In the order of [`ATTEMPT_OUTCOMES`].
    attempts: [Counter; ATTEMPT_OUTCOMES.len()],
    watch_resets: Counter,
    datagrams_sent: Counter,
    datagrams_received: Counter,
    gauges: Gauges,
}

impl Metrics {
    /// Registers all metrics; the settings name the classes and plans.
    pub(crate) fn new(settings: &ResolvedSettings) -> Metrics {
        let mut registry = Registry::with_prefix(NAME_PREFIX);
        // The text lists the metrics in the order in which they are registered here.
        Metrics {
            requests: register_requests(&mut registry, settings),
            request_durations: register_request_durations(&mut registry, settings),
            attempts: register_attempts(&mut registry),
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

    /// Counts a request that has ended, `duration` after it was complete. Abandoned requests have no duration.
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

    /// Counts an attempt that has ended.
    pub(crate) fn record_attempt(&self, outcome: AttemptOutcome) {
        increment(&self.attempts, &ATTEMPT_OUTCOMES, outcome);
    }

    /// Counts a watch on discovery that has ended.
    pub(crate) fn record_watch_reset(&self) {
        self.watch_resets.inc();
    }

    /// All metrics in the text format `OpenMetrics`. `uptime` is the time since the start of the process.
    ///
    /// # Errors
    /// A value can't be written; no such value is known.
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
        let buckets =
            exponential_buckets(FIRST_LATENCY_BUCKET, LATENCY_BUCKET_FACTOR, LATENCY_BUCKETS);
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

/// Increments the counter that stands where the outcome does.
fn increment<T: PartialEq>(counters: &[Counter], outcomes: &[T], outcome: T) {
    let index = outcomes.iter().position(|known| *known == outcome);
    if let Some(counter) = index.and_then(|index| counters.get(index)) {
        counter.inc();
    }
}

/// Raises a counter to a total that is counted elsewhere.
fn raise_to(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

/// Metrics that are set from a [`StatusSnapshot`] each time they are read.
struct Gauges {
    open_requests: Gauge,
    client_connections: Gauge,
    server_connections: Gauge,
    open_descriptors: Gauge,
    servers_ready: Gauge,
    tracked_entries: Gauge,
    list_age: GaugeF64,
    list_sequence: Gauge,
}

impl Gauges {
    fn register(registry: &mut Registry) -> Gauges {
        Gauges {
            open_requests: register(registry, "open_requests", "Requests without a final answer"),
            client_connections: register(registry, "client_connections", "Connections of clients"),
            server_connections: register(registry, "server_connections", "Connections to servers"),
            open_descriptors: register(registry, "open_descriptors", "File descriptors held"),
            servers_ready: register(
                registry,
                "servers_ready",
                "Servers that the endpoint list calls ready",
            ),
            tracked_entries: register(
                registry,
                "kept_entries",
                "Servers and customers that the decision module keeps state of",
            ),
            list_age: register(
                registry,
                "list_age_seconds",
                "Seconds since the last endpoint list was applied, or since the start",
            ),
            list_sequence: register(
                registry,
                "list_sequence",
                "Number of the last endpoint list applied, 0 before the first",
            ),
        }
    }

    fn set(&self, status: &StatusSnapshot, uptime: Duration) {
        self.open_requests.set(status.open_requests as i64);
        self.client_connections
            .set(status.client_connections as i64);
        self.server_connections
            .set(status.server_connections as i64);
        self.open_descriptors.set(status.open_descriptors as i64);
        self.servers_ready.set(status.servers_ready as i64);
        self.tracked_entries.set(status.tracked_entries as i64);
        self.list_age
            .set(status.list_age.unwrap_or(uptime).as_secs_f64());
        self.list_sequence.set(status.list_sequence as i64);
    }
}

#[cfg(test)]
#[path = "../tests/unit/metrics.rs"]
mod tests;
