//! What real and hollow nodes cost and sent, side by side, and whether it agrees.

use super::ledger::InvariantResult;
use super::observed_request::ReceivedAnswer;
use crate::time::DurationExt;
use crate::world::final_answer::FinalAnswer;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Standard errors by which a figure may be off by chance.
const STANDARD_ERRORS: f64 = 3.0;
/// Longest wait that the histogram holds, µs.
const MAX_WAIT_US: u64 = 60_000_000;

/// What the nodes of one kind did.
#[derive(Debug)]
pub struct NodeTotals {
    requests: u64,
    served: u64,
    rejected: u64,
    failed: u64,
    waits: Histogram<u64>,
    /// Datagrams sent.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Datagrams longer than the protocol allows.
    pub too_long: u64,
    /// Processor time of the processes, or time inside the decision module, µs.
    pub cost: f64,
}

impl NodeTotals {
    /// Empty totals; `None` if the histogram of waits cannot be made.
    pub fn new() -> Option<NodeTotals> {
        Some(NodeTotals {
            requests: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            waits: Histogram::new_with_max(MAX_WAIT_US, 3).ok()?,
            messages: 0,
            bytes: 0,
            too_long: 0,
            cost: 0.0,
        })
    }

    /// Counts a request by its final answer, and how long its client waited.
    pub fn count(&mut self, answer: Option<ReceivedAnswer>, wait: Duration) {
        self.requests += 1;
        match answer {
            Some(ReceivedAnswer::Genuine(FinalAnswer::Served)) => {
                self.served += 1;
                self.waits.saturating_record(wait.whole_micros());
            }
            Some(ReceivedAnswer::Genuine(FinalAnswer::Rejected)) => self.rejected += 1,
            Some(ReceivedAnswer::Genuine(FinalAnswer::Failed)) => self.failed += 1,
            // The ledger counts these as violations.
            Some(ReceivedAnswer::Forged) | None => {}
        }
    }

    fn per_request(&self, total: f64) -> f64 {
        total / self.requests.max(1) as f64
    }

    fn messages_per_request(&self) -> Figure {
        let count = self.messages as f64;
        Figure::around(
            self.per_request(count),
            self.per_request(STANDARD_ERRORS * count.sqrt()),
        )
    }

    fn bytes_per_request(&self) -> Figure {
        let relative_error = STANDARD_ERRORS / (self.messages.max(1) as f64).sqrt();
        let value = self.per_request(self.bytes as f64);
        Figure::around(value, value * relative_error)
    }

    /// The share of the requests, with the bounds of Wilson's score interval.
    fn share(&self, count: u64) -> Figure {
        let n = self.requests.max(1) as f64;
        let p = self.per_request(count as f64);
        let z = STANDARD_ERRORS;
        let center = (p + z * z / (2.0 * n)) / (1.0 + z * z / n);
        let error = z / (1.0 + z * z / n) * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
        Figure {
            value: p,
            low: (center - error).max(0.0),
            high: center + error,
        }
    }

    /// A quantile of the waits, ms, with the bounds by the ranks between which it lies.
    fn wait_ms(&self, quantile: f64) -> Figure {
        let error =
            STANDARD_ERRORS * (quantile * (1.0 - quantile) / self.served.max(1) as f64).sqrt();
        let at =
            |quantile: f64| self.waits.value_at_quantile(quantile.clamp(0.0, 1.0)) as f64 / 1e3;
        Figure {
            value: at(quantile),
            low: at(quantile - error),
            high: at(quantile + error),
        }
    }
}

/// A figure with the bounds between which its true value lies but for chance.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figure {
    /// As measured.
    pub value: f64,
    /// Lower bound.
    pub low: f64,
    /// Upper bound.
    pub high: f64,
}

impl Figure {
    fn around(value: f64, error: f64) -> Figure {
        Figure {
            value,
            low: (value - error).max(0.0),
            high: value + error,
        }
    }

    /// Whether two figures may be within a factor of each other.
    pub fn agrees(&self, other: &Figure, factor: f64) -> bool {
        self.low <= other.high * factor && other.low <= self.high * factor
    }
}

/// One figure of both kinds of nodes.
#[derive(Clone, Debug, Serialize)]
pub struct ComparisonRow {
    /// What is measured, with its unit.
    #[serde(rename = "what")]
    pub name: &'static str,
    /// At the real nodes.
    pub real: Figure,
    /// At the hollow nodes.
    pub hollow: Figure,
    /// Whether they agree; `None` if they are not compared.
    pub agrees: Option<bool>,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The factor within which figures have to agree.
    #[serde(rename = "within")]
    pub factor: f64,
    /// Requests at the real nodes and at the hollow ones.
    pub requests: [u64; 2],
    /// The compared figures.
    pub rows: Vec<ComparisonRow>,
    /// The checked invariants.
    #[serde(rename = "rules")]
    pub invariants: Vec<InvariantResult>,
}

impl Report {
    /// Compares the two kinds of nodes.
    pub fn new(
        real: &NodeTotals,
        hollow: &NodeTotals,
        factor: f64,
        mut invariants: Vec<InvariantResult>,
    ) -> Report {
        invariants.push(InvariantResult {
            invariant: "no datagram is longer than 256 bytes",
            checked: real.messages + hollow.messages,
            violations: real.too_long + hollow.too_long,
            details: String::new(),
        });
        let requests = [real.requests, hollow.requests];
        Report {
            factor,
            requests,
            rows: compare(real, hollow, factor),
            invariants,
        }
    }

    /// What did not agree and what was violated, each in a few words.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        for row in self.rows.iter().filter(|row| row.agrees == Some(false)) {
            problems.push(format!(
                "{} is further apart than {} times",
                row.name, self.factor
            ));
        }
        for InvariantResult {
            invariant,
            violations,
            ..
        } in &self.invariants
        {
            if *violations > 0 {
                problems.push(format!("{invariant}: broken {violations} times"));
            }
        }
        problems
    }
}

fn compare(real: &NodeTotals, hollow: &NodeTotals, factor: f64) -> Vec<ComparisonRow> {
    let row = |name, figure: &dyn Fn(&NodeTotals) -> Figure| {
        let (real, hollow) = (figure(real), figure(hollow));
        ComparisonRow {
            name,
            real,
            hollow,
            agrees: Some(real.agrees(&hollow, factor)),
        }
    };
    let cost_per_request =
        |totals: &NodeTotals| Figure::around(totals.per_request(totals.cost), 0.0);
    let cost = row("cost a request, us", &cost_per_request);
    vec![
        row("messages a request", &NodeTotals::messages_per_request),
        row("bytes a request", &NodeTotals::bytes_per_request),
        row("served share", &|totals| totals.share(totals.served)),
        row("refused share", &|totals| totals.share(totals.rejected)),
        row("failed share", &|totals| totals.share(totals.failed)),
        row("wait p50, ms", &|totals| totals.wait_ms(0.5)),
        row("wait p99, ms", &|totals| totals.wait_ms(0.99)),
        // A hollow node has no connections and no sockets of its own, which are most of what a real one costs.
        ComparisonRow {
            agrees: None,
            ..cost
        },
    ]
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [real, hollow] = self.requests;
        writeln!(
            f,
            "{:<24}{:>12}{:>12}  within {}",
            "", "real", "hollow", self.factor
        )?;
        writeln!(f, "{:<24}{real:>12}{hollow:>12}", "requests")?;
        for ComparisonRow {
            name,
            real,
            hollow,
            agrees,
        } in &self.rows
        {
            let agrees = match agrees {
                None => "not compared",
                Some(true) => "yes",
                Some(false) => "NO",
            };
            writeln!(
                f,
                "{name:<24}{:>12.3}{:>12.3}  {agrees}",
                real.value, hollow.value
            )?;
        }
        for InvariantResult {
            invariant,
            checked,
            violations,
            details,
        } in &self.invariants
        {
            let result = match violations {
                0 => "kept".to_owned(),
                count => format!("BROKEN {count} times"),
            };
            let separator = if details.is_empty() { "" } else { "; " };
            writeln!(
                f,
                "{invariant}: {result}, looked at {checked}{separator}{details}"
            )?;
        }
        Ok(())
    }
}
