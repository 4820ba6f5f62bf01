//! The results of a simulation, which depend only on the experiment and its seed.

use super::experiment::Experiment;
use crate::world::cold_start::ColdStartLoad;
use crate::world::datagrams::{MessageCounts, Traffic};
use crate::world::invariant::{Invariant, Violations};
use crate::world::invariant_checker::InvariantChecker;
use crate::world::request_counts::{RequestCounts, SecondCounts};
use crate::world::request_statistics::RequestStatistics;
use crate::world::seconds_since_start;
use crate::world::servers::Server;
use gateway_core::Timestamp;
use serde::Serialize;
use std::collections::BTreeMap;

/// Quantile of a median.
const MEDIAN: f64 = 0.5;
/// Quantile of a 99th percentile.
const P99: f64 = 0.99;

/// Counts of the requests of one class and plan.
#[derive(Clone, Debug, Serialize)]
pub struct ClassPlanCounts {
    /// Name of the class in the settings.
    pub class: String,
    /// Name of the plan in the settings.
    pub plan: String,
    /// How many requests of this class and plan arrived, and how they ended.
    #[serde(flatten)]
    pub requests: RequestCounts,
}

/// The attempts of one class, and the times from the arrival of its requests to their answers.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Name of the class in the settings.
    pub class: String,
    /// Counts of the requests of all plans.
    #[serde(flatten)]
    pub requests: RequestCounts,
    /// Number of attempts sent, the first ones and the further ones.
    pub attempts: u64,
    /// Median time to a server's answer, in ms.
    pub served_p50_ms: f64,
    /// 99th percentile of the time to a server's answer, in ms.
    pub served_p99_ms: f64,
    /// Median time to a rejection or failure, in ms.
    pub unserved_p50_ms: f64,
    /// 99th percentile of the time to a rejection or failure, in ms.
    pub unserved_p99_ms: f64,
}

impl ClassReport {
    fn new(class: String, index: usize, statistics: &RequestStatistics) -> ClassReport {
        let mut requests = RequestCounts::default();
        for counts in &statistics.counts[index] {
            requests.add(counts);
        }
        let times = &statistics.answer_times[index];
        ClassReport {
            class,
            requests,
            attempts: statistics.attempts[index],
            served_p50_ms: times.served.quantile_ms(MEDIAN),
            served_p99_ms: times.served.quantile_ms(P99),
            unserved_p50_ms: times.unserved.quantile_ms(MEDIAN),
            unserved_p99_ms: times.unserved.quantile_ms(P99),
        }
    }
}

/// Rates and counts of messages between gateways.
#[derive(Clone, Debug, Serialize)]
pub struct MessageRates {
    /// Messages that a gateway receives per second, on average.
    pub mean_per_s: f64,
    /// Messages per second that the gateway with the most messages receives.
    pub busiest_per_s: f64,
    /// Bytes that a gateway receives per second, on average.
    pub mean_bytes_per_s: f64,
    /// Bytes per second that the gateway with the most bytes receives.
    pub busiest_bytes_per_s: f64,
    /// Messages sent, counted once per receiver.
    pub sent: u64,
    /// Messages lost on their way.
    pub lost: u64,
    /// Messages dropped because they exceeded the rate that their receiver accepts.
    pub dropped: u64,
}

impl MessageRates {
    fn new(traffic: &Traffic, seconds: f64, gateways: u32) -> MessageRates {
        let gateway_seconds = seconds * f64::from(gateways);
        let max = |figure: fn(&MessageCounts) -> u64| {
            traffic.received.iter().map(figure).max().unwrap_or(0) as f64 / seconds
        };
        let mean = |figure: fn(&MessageCounts) -> u64| {
            traffic.received.iter().map(figure).sum::<u64>() as f64 / gateway_seconds
        };
        MessageRates {
            mean_per_s: mean(|received| received.messages),
            busiest_per_s: max(|received| received.messages),
            mean_bytes_per_s: mean(|received| received.bytes),
            busiest_bytes_per_s: max(|received| received.bytes),
            sent: traffic.sent,
            lost: traffic.lost,
            dropped: traffic.dropped,
        }
    }
}

/// A server that was started cold, with its highest load until it was warm.
#[derive(Clone, Debug, Serialize)]
pub struct ColdServer {
    /// Id of the server, a random number of 32 bits.
    pub server: u64,
    /// Whether the server crashed from overload while it was cold.
    #[serde(rename = "fell")]
    pub has_crashed: bool,
    /// Highest load while it was cold.
    #[serde(flatten)]
    pub load: ColdStartLoad,
}

impl ColdServer {
    fn new(server: &Server) -> Option<ColdServer> {
        let load = server.highest_cold_load()?;
        Some(ColdServer {
            server: server.endpoint.server.0,
            has_crashed: server.has_crashed(),
            load,
        })
    }
}

/// The results of a simulation.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of gateways, whether they were up or down.
    pub nodes: u32,
    /// Number of servers at the start.
    pub servers: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Names of the faults, as on the command line.
    #[serde(rename = "troubles")]
    pub faults: Vec<String>,
    /// Simulated time until the last request had ended, in seconds.
    #[serde(rename = "played_s")]
    pub simulated_seconds: f64,
    /// Counts of the requests of all classes and plans together.
    pub all: RequestCounts,
    /// Counts of requests for each class and plan, including those without requests.
    #[serde(rename = "parts")]
    pub by_class_and_plan: Vec<ClassPlanCounts>,
    /// Attempts and times to answers of each class.
    #[serde(rename = "classes")]
    pub by_class: Vec<ClassReport>,
    /// Units of all requests of which an attempt was sent.
    pub sent_units: f64,
    /// The part of `sent_units` that is beyond quotas.
    #[serde(rename = "over_units")]
    pub over_quota_units: f64,
    /// Number of attempts sent, the first ones and the further ones of all requests.
    pub attempts: u64,
    /// Number of attempts that were sent to another zone.
    #[serde(rename = "crossed")]
    pub cross_zone_attempts: u64,
    /// Violations, by invariant; an invariant that held has no entry.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<Invariant, Violations>,
    /// Rates and counts of messages between gateways.
    pub messages: MessageRates,
    /// Median wait from arrival to first attempt, in ms.
    pub wait_p50_ms: f64,
    /// 99th percentile of the wait from arrival to first attempt, in ms.
    pub wait_p99_ms: f64,
    /// Servers that were started cold.
    #[serde(rename = "cold")]
    pub cold_servers: Vec<ColdServer>,
    /// Counts by second of the simulation, from its start to the last second in which any changed.
    pub seconds: Vec<SecondCounts>,
}

impl Report {
    /// Collects the results of a simulation that ended at `now`.
    pub(super) fn new(
        experiment: &Experiment,
        now: Timestamp,
        servers: &[Server],
        traffic: &Traffic,
        checker: InvariantChecker,
    ) -> Report {
        let InvariantChecker {
            statistics,
            violations,
            ..
        } = checker;
        let simulated_seconds = seconds_since_start(now);
        let by_class_and_plan = by_class_and_plan(experiment, &statistics);
        let class_names = experiment.resolved.class_names.iter().cloned();
        let by_class = class_names
            .enumerate()
            .map(|(index, class)| ClassReport::new(class, index, &statistics))
            .collect();
        let mut all = RequestCounts::default();
        for counts in &by_class_and_plan {
            all.add(&counts.requests);
        }
        Report {
            nodes: experiment.gateway_count(),
            servers: experiment.servers.len(),
            seed: experiment.seed,
            faults: experiment.fault_names.clone(),
            simulated_seconds,
            all,
            by_class_and_plan,
            by_class,
            sent_units: statistics.sent_units(),
            over_quota_units: statistics.over_quota_units(),
            attempts: statistics.attempts.iter().sum(),
            cross_zone_attempts: statistics.cross_zone_attempts,
            messages: MessageRates::new(traffic, simulated_seconds, experiment.gateway_count()),
            wait_p50_ms: statistics.wait_ms(MEDIAN),
            wait_p99_ms: statistics.wait_ms(P99),
            cold_servers: servers.iter().filter_map(ColdServer::new).collect(),
            violations,
            seconds: statistics.seconds,
        }
    }

    /// Returns the number of violations of each invariant, in one line.
    pub(super) fn violation_summary(&self) -> String {
        let violations = self.violations.iter();
        let counts = violations.map(|(invariant, of)| format!("{invariant} {} times", of.count));
        counts.collect::<Vec<_>>().join(", ")
    }
}

fn by_class_and_plan(
    experiment: &Experiment,
    statistics: &RequestStatistics,
) -> Vec<ClassPlanCounts> {
    let mut all = Vec::new();
    for (class, plans) in experiment
        .resolved
        .class_names
        .iter()
        .zip(&statistics.counts)
    {
        for (plan, requests) in experiment.resolved.plan_names.iter().zip(plans) {
            all.push(ClassPlanCounts {
                class: class.clone(),
                plan: plan.clone(),
                requests: *requests,
            });
        }
    }
    all
}
