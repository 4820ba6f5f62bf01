//! What was measured: as a table, and as JSON.

use super::{Over, Sizes};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A figure, by a name that ends with its unit.
pub type Figure = (&'static str, f64);

/// All slopes of one run.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the first repeat; each further one has the next.
    pub seed: u64,
    /// Repeats of each point.
    pub repeats: u64,
    /// The sizes that stay where another grows.
    pub base: Sizes,
    /// Each cost over each size.
    pub slopes: Vec<Slope>,
}

/// One cost as one size grows.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Of what.
    pub name: String,
    /// The size that grows.
    pub over: Over,
    /// In the order of their sizes.
    pub points: Vec<Point>,
}

/// What one size costs.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: u64,
    /// Figures by name; each name ends with its unit.
    pub figures: BTreeMap<String, Spread>,
}

/// A figure over all repeats.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The middle one; of an even number the upper of the two.
    pub median: f64,
    /// The least.
    pub min: f64,
    /// The most.
    pub max: f64,
}

/// Gathers the figures of all repeats of a point.
pub(super) fn figures(runs: &[Vec<Figure>]) -> BTreeMap<String, Spread> {
    let mut all: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (name, value) in runs.iter().flatten() {
        all.entry((*name).to_owned()).or_default().push(*value);
    }
    all.into_iter().filter_map(|(name, values)| Some((name, Spread::of(values)?))).collect()
}

impl Spread {
    /// The spread of some figures; `None` of none.
    pub fn of(mut values: Vec<f64>) -> Option<Spread> {
        values.sort_by(f64::total_cmp);
        let (min, max) = (*values.first()?, *values.last()?);
        Some(Spread { median: values[values.len() / 2], min, max })
    }
}

/// What all slopes have in common; each prints itself.
impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Sizes { servers, customers, gateways, spread, open } = self.base;
        let spread = spread.min(gateways);
        writeln!(
            f,
            "seed {}, {} repeats; where they don't grow: {servers} servers, {customers} customers, {gateways} \
             gateways, {spread} of them for each customer, {open} open requests",
            self.seed, self.repeats
        )
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} over {}", self.name, self.over)?;
        writeln!(
            f,
            "{:>10}  {:<18} {:>14} {:>14} {:>14}  power",
            self.over.to_string(),
            "figure",
            "median",
            "min",
            "max"
        )?;
        for (place, point) in self.points.iter().enumerate() {
            let before = place.checked_sub(1).map(|place| &self.points[place]);
            for (name, spread) in &point.figures {
                let Spread { median, min, max } = spread;
                let power = before.and_then(|before| power(before, point, name));
                let power = power.map_or_else(|| "-".to_owned(), |power| format!("{power:.2}"));
                writeln!(
                    f,
                    "{:>10}  {name:<18} {median:>14.3} {min:>14.3} {max:>14.3}  {power:>5}",
                    point.size
                )?;
            }
        }
        Ok(())
    }
}

/// The power of the size with which a figure grows from one point to the next: 0 stands still, 1 grows in step.
/// `None` where that has no meaning, as a figure is 0.
fn power(before: &Point, after: &Point, name: &str) -> Option<f64> {
    let (from, to) = (before.figures.get(name)?.median, after.figures.get(name)?.median);
    let power = (to / from).ln() / (after.size as f64 / before.size as f64).ln();
    Some(power).filter(|power| power.is_finite())
}
