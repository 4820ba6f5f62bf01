//! What the edge node counts, for operators. Labels are names from the settings and outcomes: no customer, server or
//! request is among them, so that the number of series is bounded.

use edge_node::settings::ResolvedSettings;
use edge_node::{AttemptOutcome, ClassId, PlanId};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::time::Duration;

type Labels = Vec<(&'static str, String)>;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Served,
    Refused,
    Failed,
    /// Its client left, or its time was up.
    Abandoned,
}

const FINALS: [(Final, &str); 4] = [
    (Final::Served, "served"),
    (Final::Refused, "refused"),
    (Final::Failed, "failed"),
    (Final::Abandoned, "abandoned"),
];

const OUTCOMES: [(AttemptOutcome, &str); 8] = [
    (AttemptOutcome::Success, "ok"),
    (AttemptOutcome::ServerError, "error"),
    (AttemptOutcome::Overloaded, "full"),
    (AttemptOutcome::TimedOut, "timed_out"),
    (AttemptOutcome::Unreachable, "unreachable"),
    (AttemptOutcome::ConnectionLost, "broken"),
    (AttemptOutcome::Cancelled, "cancelled"),
    (AttemptOutcome::NotSent, "not_sent"),
];

/// What is only known when it is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    pub open_requests: usize,
    pub client_connections: usize,
    pub server_connections: usize,
    pub descriptors: usize,
    pub servers_ready: usize,
    /// Servers and customers that the decisions keep in mind.
    pub kept: usize,
    /// Since the last list was applied; `None` before the first.
    pub list_age: Option<Duration>,
    pub list_sequence: u64,
    pub datagrams_sent: u64,
    pub datagrams_received: u64,
}

pub struct Metrics {
    registry: Registry,
    /// By class, plan and outcome, made once: a request looks nothing up.
    requests: Vec<Vec<[Counter; 4]>>,
    latency: Vec<Histogram>,
    attempts: [Counter; 8],
    pub watch_resets: Counter,
    sent: Counter,
    received: Counter,
    gauges: Gauges,
}

#[derive(Default)]
struct Gauges {
    open_requests: Gauge,
    client_connections: Gauge,
    server_connections: Gauge,
    descriptors: Gauge,
    servers_ready: Gauge,
    kept: Gauge,
    list_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    list_sequence: Gauge,
}

impl Metrics {
    pub fn new(named: &ResolvedSettings) -> Metrics {
        let mut registry = Registry::with_prefix("edge_node");
        let requests = Family::<Labels, Counter>::default();
        registry.register("requests", "Requests of clients that have ended", requests.clone());
        let of = |class: &String, plan: &String| {
            FINALS.map(|(_, word)| {
                let labels = [("class", class.clone()), ("plan", plan.clone()), ("outcome", word.to_owned())];
                requests.get_or_create_owned(&labels.to_vec())
            })
        };
        let each = |class: &String| named.plan_names.iter().map(|plan| of(class, plan)).collect();
        let counted = named.class_names.iter().map(each).collect();
        let buckets: fn() -> Histogram = || Histogram::new(exponential_buckets(0.001, 2.0, 14));
        let latency = Family::<Labels, Histogram>::new_with_constructor(buckets);
        let help = "Seconds from a request that is whole to its final answer";
        registry.register("request_duration_seconds", help, latency.clone());
        let observed = |class: &String| latency.get_or_create_owned(&vec![("class", class.clone())]);
        let observed = named.class_names.iter().map(observed).collect();
        let attempts = Family::<Labels, Counter>::default();
        registry.register("attempts", "Attempts at servers that have ended", attempts.clone());
        let tried =
            OUTCOMES.map(|(_, word)| attempts.get_or_create_owned(&vec![("outcome", word.to_owned())]));
        let (watch_resets, sent, received) = (Counter::default(), Counter::default(), Counter::default());
        registry.register("watch_resets", "Watches on discovery that ended", watch_resets.clone());
        registry.register("datagrams_sent", "Datagrams given to the network", sent.clone());
        registry.register("datagrams_received", "Datagrams of peers taken in", received.clone());
        let gauges = Gauges::default();
        registry.register("open_requests", "Requests with no final answer yet", gauges.open_requests.clone());
        let help = "Connections of clients";
        registry.register("client_connections", help, gauges.client_connections.clone());
        let help = "Connections to servers";
        registry.register("server_connections", help, gauges.server_connections.clone());
        registry.register("open_descriptors", "File descriptors held", gauges.descriptors.clone());
        registry.register("servers_ready", "Servers that the list calls ready", gauges.servers_ready.clone());
        registry.register(
            "kept_entries",
            "Servers and customers that the decisions keep in mind",
            gauges.kept.clone(),
        );
        let help = "Seconds since the last list was applied, or since the start";
        registry.register("list_age_seconds", help, gauges.list_age.clone());
        registry.register("list_sequence", "Number of the last list applied", gauges.list_sequence.clone());
        Metrics {
            registry,
            requests: counted,
            latency: observed,
            attempts: tried,
            watch_resets,
            sent,
            received,
            gauges,
        }
    }

    /// A request has ended, so long after it was whole.
    pub fn request(&self, class: ClassId, plan: PlanId, outcome: Final, after: Duration) {
        let counters = self.requests.get(class.0).and_then(|plans| plans.get(plan.0));
        let place = FINALS.iter().position(|(known, _)| *known == outcome);
        if let Some(counter) = counters.zip(place).and_then(|(counters, place)| counters.get(place)) {
            counter.inc();
        }
        if let Some(histogram) = self.latency.get(class.0).filter(|_| outcome != Final::Abandoned) {
            histogram.observe(after.as_secs_f64());
        }
    }

    pub fn attempt(&self, outcome: AttemptOutcome) {
        let place = OUTCOMES.iter().position(|(known, _)| *known == outcome);
        if let Some(counter) = place.and_then(|place| self.attempts.get(place)) {
            counter.inc();
        }
    }

    /// All of it in the text form that Prometheus reads, with what is known now.
    ///
    /// # Errors
    /// A value can't be written; none is known that can't.
    pub fn text(&self, now: Now, up: Duration) -> Result<String, std::fmt::Error> {
        let gauges = &self.gauges;
        gauges.open_requests.set(now.open_requests as i64);
        gauges.client_connections.set(now.client_connections as i64);
        gauges.server_connections.set(now.server_connections as i64);
        gauges.descriptors.set(now.descriptors as i64);
        gauges.servers_ready.set(now.servers_ready as i64);
        gauges.kept.set(now.kept as i64);
        gauges.list_age.set(now.list_age.unwrap_or(up).as_secs_f64());
        gauges.list_sequence.set(now.list_sequence as i64);
        self.sent.inc_by(now.datagrams_sent.saturating_sub(self.sent.get()));
        self.received.inc_by(now.datagrams_received.saturating_sub(self.received.get()));
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
