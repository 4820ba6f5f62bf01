//! What real and hollow nodes cost and sent, side by side, and whether it agrees.

use super::figure::Figure;
use super::invariant_result::InvariantResult;
use super::node_totals::NodeTotals;
use serde::Serialize;
use std::fmt;

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
        |totals: &NodeTotals| Figure::around(totals.per_request(totals.cost_us), 0.0);
    let cost = row("cost a request, us", &cost_per_request);
    vec![
        row("messages a request", &NodeTotals::messages_per_request),
        row("bytes a request", &NodeTotals::bytes_per_request),
        row("served share", &|totals| totals.fraction(totals.served)),
        row("refused share", &|totals| totals.fraction(totals.rejected)),
        row("failed share", &|totals| totals.fraction(totals.failed)),
        row("wait p50, ms", &|totals| totals.wait_ms(0.5)),
        row("wait p99, ms", &|totals| totals.wait_ms(0.99)),
        // A hollow node has no connections and no sockets of its own, which cause the larger part of the cost of a real one.
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
        for row in &self.rows {
            writeln!(f, "{row}")?;
        }
        for result in &self.invariants {
            writeln!(f, "{result}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ComparisonRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let agrees = match self.agrees {
            None => "not compared",
            Some(true) => "yes",
            Some(false) => "NO",
        };
        write!(
            f,
            "{:<24}{:>12.3}{:>12.3}  {agrees}",
            self.name, self.real.value, self.hollow.value
        )
    }
}
