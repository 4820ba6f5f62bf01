//! What real and hollow nodes cost and sent, side by side, and whether it agrees.

use super::ledger::{Answer, Rule};
use edge_node::Micros;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;

/// Standard errors by which a figure may be off by chance.
const CHANCE: f64 = 3.0;
/// Longest wait that is told apart, in µs.
const LONGEST: u64 = 60_000_000;

/// What one kind of node did.
#[derive(Debug)]
pub struct Tally {
    requests: u64,
    served: u64,
    refused: u64,
    failed: u64,
    waits: Histogram<u64>,
    /// Datagrams.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Those longer than the protocol allows.
    pub too_long: u64,
    /// Processor time of the processes, or time within the module, in µs.
    pub cost: f64,
}

impl Tally {
    /// An empty one; `None` if waits can't be counted.
    pub fn new() -> Option<Tally> {
        let waits = Histogram::new_with_max(LONGEST, 3).ok()?;
        let (requests, served, refused, failed) = (0, 0, 0, 0);
        Some(Tally {
            requests,
            served,
            refused,
            failed,
            waits,
            messages: 0,
            bytes: 0,
            too_long: 0,
            cost: 0.0,
        })
    }

    /// Counts a try: what came of it, and after how many µs.
    pub fn count(&mut self, answer: Option<Answer>, wait: Micros) {
        self.requests += 1;
        match answer {
            Some(Answer::Served) => {
                self.served += 1;
                self.waits.saturating_record(wait);
            }
            Some(Answer::Refused) => self.refused += 1,
            Some(Answer::Failed) => self.failed += 1,
            // The ledger tells of these.
            Some(Answer::Forged) | None => {}
        }
    }

    fn each(&self, of: f64) -> f64 {
        of / self.requests.max(1) as f64
    }

    fn messages(&self) -> Figure {
        let count = self.messages as f64;
        Figure::about(self.each(count), self.each(CHANCE * count.sqrt()))
    }

    fn bytes(&self) -> Figure {
        let off = CHANCE / (self.messages.max(1) as f64).sqrt();
        let value = self.each(self.bytes as f64);
        Figure::about(value, value * off)
    }

    /// Wilson's bounds.
    fn share(&self, count: u64) -> Figure {
        let (n, p, z) = (self.requests.max(1) as f64, self.each(count as f64), CHANCE);
        let middle = (p + z * z / (2.0 * n)) / (1.0 + z * z / n);
        let off = z / (1.0 + z * z / n) * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
        Figure { value: p, low: (middle - off).max(0.0), high: middle + off }
    }

    /// Bounds by the ranks between which the quantile lies.
    fn wait(&self, quantile: f64) -> Figure {
        let off = CHANCE * (quantile * (1.0 - quantile) / self.served.max(1) as f64).sqrt();
        let at = |quantile: f64| self.waits.value_at_quantile(quantile.clamp(0.0, 1.0)) as f64 / 1e3;
        Figure { value: at(quantile), low: at(quantile - off), high: at(quantile + off) }
    }
}

/// A figure, and between which bounds it may lie but for chance.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figure {
    /// As measured.
    pub value: f64,
    /// Least.
    pub low: f64,
    /// Most.
    pub high: f64,
}

impl Figure {
    fn about(value: f64, off: f64) -> Figure {
        Figure { value, low: (value - off).max(0.0), high: value + off }
    }

    /// Whether two figures may be within a factor of each other.
    pub fn agrees(&self, other: &Figure, within: f64) -> bool {
        self.low <= other.high * within && other.low <= self.high * within
    }
}

/// One figure of both kinds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What is measured, with its unit.
    pub what: &'static str,
    /// At the real nodes.
    pub real: Figure,
    /// At the hollow nodes.
    pub hollow: Figure,
    /// Whether they agree; `None` where they are not held against each other.
    pub agrees: Option<bool>,
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The factor within which figures have to agree.
    pub within: f64,
    /// Requests at the real nodes and at the hollow ones.
    pub requests: [u64; 2],
    /// Figures.
    pub rows: Vec<Row>,
    /// Rules.
    pub rules: Vec<Rule>,
}

impl Report {
    /// Holds the two kinds against each other.
    pub fn new(real: &Tally, hollow: &Tally, within: f64, mut rules: Vec<Rule>) -> Report {
        let row = |what, of: &dyn Fn(&Tally) -> Figure| {
            let (real, hollow) = (of(real), of(hollow));
            Row { what, real, hollow, agrees: Some(real.agrees(&hollow, within)) }
        };
        let mut rows = vec![
            row("messages a request", &Tally::messages),
            row("bytes a request", &Tally::bytes),
            row("served share", &|tally| tally.share(tally.served)),
            row("refused share", &|tally| tally.share(tally.refused)),
            row("failed share", &|tally| tally.share(tally.failed)),
            row("wait p50, ms", &|tally| tally.wait(0.5)),
            row("wait p99, ms", &|tally| tally.wait(0.99)),
        ];
        // A hollow node has no connections and no sockets of its own, which are most of what a real one costs.
        let cost = row("cost a request, us", &|tally| Figure::about(tally.each(tally.cost), 0.0));
        rows.push(Row { agrees: None, ..cost });
        rules.push(Rule {
            rule: "no datagram is longer than 256 bytes",
            looked_at: real.messages + hollow.messages,
            broken: real.too_long + hollow.too_long,
            seen: String::new(),
        });
        Report { within, requests: [real.requests, hollow.requests], rows, rules }
    }

    /// What did not hold, each in a few words.
    pub fn faults(&self) -> Vec<String> {
        let apart = self.rows.iter().filter(|row| row.agrees == Some(false));
        let apart = apart.map(|row| format!("{} is further apart than {} times", row.what, self.within));
        let broken = self.rules.iter().filter(|rule| rule.broken > 0);
        apart.chain(broken.map(|rule| format!("{}: broken {} times", rule.rule, rule.broken))).collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [real, hollow] = self.requests;
        writeln!(f, "{:<24}{:>12}{:>12}  within {}", "", "real", "hollow", self.within)?;
        writeln!(f, "{:<24}{real:>12}{hollow:>12}", "requests")?;
        for row in &self.rows {
            let agrees = row.agrees.map_or("not compared", |agrees| if agrees { "yes" } else { "NO" });
            writeln!(f, "{:<24}{:>12.3}{:>12.3}  {agrees}", row.what, row.real.value, row.hollow.value)?;
        }
        for Rule { rule, looked_at, broken, seen } in &self.rules {
            let held = if *broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") };
            let seen = if seen.is_empty() { String::new() } else { format!("; {seen}") };
            writeln!(f, "{rule}: {held}, looked at {looked_at}{seen}")?;
        }
        Ok(())
    }
}
