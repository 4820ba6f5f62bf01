//! Results of the measurements, as a table and as JSON.

use super::sizes::{Dimension, FleetSizes};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// One figure of one repeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct Figure {
    /// Name of the figure, which ends with its unit.
    pub(super) name: &'static str,
    /// Value in the unit that the name ends with.
    pub(super) value: f64,
}

/// Results of one run of `fleet-lab scaling`.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the first repeat; each further repeat has the next seed.
    pub seed: u64,
    /// Number of repeats of each point.
    pub repeats: u64,
    /// Sizes in all dimensions but the one in which the fleet grows.
    pub base: FleetSizes,
    /// One curve for each cost and dimension.
    #[serde(rename = "slopes")]
    pub curves: Vec<CostCurve>,
}

/// One cost as the fleet grows in one dimension.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct CostCurve {
    /// Name of the measured cost, such as `request`.
    pub name: String,
    /// Dimension in which the fleet grows.
    #[serde(rename = "over")]
    pub dimension: Dimension,
    /// Points of the curve, in the order of their sizes.
    pub points: Vec<CostPoint>,
}

/// The cost at one size.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct CostPoint {
    /// Size of the fleet in the dimension of the curve.
    pub size: u64,
    /// Statistics by the name of their figure, which ends with its unit.
    pub figures: BTreeMap<String, Statistics>,
}

impl CostPoint {
    /// Summarizes the figures of all repeats at one size.
    pub(super) fn new(size: u64, runs: &[Vec<Figure>]) -> CostPoint {
        let mut values: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for figure in runs.iter().flatten() {
            values.entry(figure.name).or_default().push(figure.value);
        }
        let mut figures = BTreeMap::new();
        for (name, values) in values {
            if let Some(statistics) = Statistics::of(values) {
                figures.insert(name.to_owned(), statistics);
            }
        }
        CostPoint { size, figures }
    }
}

/// Statistics of one figure over all repeats.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statistics {
    /// Median; for an even number of values, the upper of the two middle values.
    pub median: f64,
    /// Smallest value of all repeats.
    pub min: f64,
    /// Largest value of all repeats.
    pub max: f64,
}

impl Statistics {
    /// Computes the statistics of some values; returns `None` if there are none.
    pub fn of(mut values: Vec<f64>) -> Option<Statistics> {
        values.sort_by(f64::total_cmp);
        let min = *values.first()?;
        let max = *values.last()?;
        Some(Statistics {
            median: values[values.len() / 2],
            min,
            max,
        })
    }
}

/// Prints what all curves have in common; each curve prints itself.
impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FleetSizes {
            servers,
            customers,
            gateways,
            open_requests,
            ..
        } = self.base;
        let gateways_per_customer = self.base.effective_gateways_per_customer();
        writeln!(
            f,
            "seed {}, {} repeats; where they don't grow: {servers} servers, {customers} customers, {gateways} \
             gateways, {gateways_per_customer} of them for each customer, {open_requests} open requests",
            self.seed, self.repeats
        )
    }
}

impl fmt::Display for CostCurve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let dimension = self.dimension.to_string();
        writeln!(f, "{} over {dimension}", self.name)?;
        writeln!(
            f,
            "{dimension:>10}  {:<18} {:>14} {:>14} {:>14}  power",
            "figure", "median", "min", "max"
        )?;
        let mut previous = None;
        for point in &self.points {
            write_point(f, previous, point)?;
            previous = Some(point);
        }
        Ok(())
    }
}

fn write_point(
    f: &mut fmt::Formatter<'_>,
    previous: Option<&CostPoint>,
    point: &CostPoint,
) -> fmt::Result {
    for (name, Statistics { median, min, max }) in &point.figures {
        let exponent = previous.and_then(|previous| growth_exponent(previous, point, name));
        let exponent = exponent.map_or_else(|| "-".to_owned(), |exponent| format!("{exponent:.2}"));
        writeln!(
            f,
            "{:>10}  {name:<18} {median:>14.3} {min:>14.3} {max:>14.3}  {exponent:>5}",
            point.size
        )?;
    }
    Ok(())
}

/// Returns the exponent of the size with which a figure grows from one point to the next: 0 means
/// constant, 1 linear. Returns `None` if the exponent is undefined because a figure is 0.
fn growth_exponent(before: &CostPoint, after: &CostPoint, name: &str) -> Option<f64> {
    let growth = after.figures.get(name)?.median / before.figures.get(name)?.median;
    let exponent = growth.ln() / (after.size as f64 / before.size as f64).ln();
    Some(exponent).filter(|exponent| exponent.is_finite())
}
