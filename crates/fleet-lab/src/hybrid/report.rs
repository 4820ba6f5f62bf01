//! Comparison of the figures of real and hollow nodes, and the results of the invariant checks.

use super::figure::Figure;
use super::invariant_result::InvariantResult;
use super::node_totals::NodeTotals;
use serde::Serialize;
use std::fmt;

/// One figure for both kinds of nodes.
#[derive(Clone, Debug, Serialize)]
pub struct ComparisonRow {
    /// Name of the figure, with its unit.
    #[serde(rename = "what")]
    pub name: &'static str,
    /// Value at the real nodes.
    pub real: Figure,
    /// Value at the hollow nodes.
    pub hollow: Figure,
    /// Whether the two values agree; `None` if they are not compared.
    pub agrees: Option<bool>,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Factor within which the values of both kinds must agree.
    #[serde(rename = "within")]
    pub factor: f64,
    /// Number of requests at the real nodes and at the hollow nodes.
    pub requests: [u64; 2],
    /// Figures of both kinds side by side.
    pub rows: Vec<ComparisonRow>,
    /// One result for each invariant, whether it was violated or not.
    #[serde(rename = "rules")]
    pub invariants: Vec<InvariantResult>,
}

impl Report {
    /// Compares the totals of the two kinds of nodes, and adds the check that no datagram is too
    /// long.
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

    /// Returns a short description of each figure that does not agree and of each violated
    /// invariant.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        for row in self.rows.iter().filter(|row| row.agrees == Some(false)) {
            problems.push(format!(
                "{} differs by more than a factor of {}",
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
        // A hollow node has no connections and no sockets of its own, which cause the larger part
        // of the cost of a real node, so the costs are not compared.
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
