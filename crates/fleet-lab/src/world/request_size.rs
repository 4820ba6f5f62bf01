//! Sizes of requests, in units of the quotas.

use super::Rng;
use rand::Rng as _;

/// A size that requests may have, with its relative probability.
struct SizeClass {
    units: f64,
    /// Probability relative to those of the other sizes.
    weight: f64,
}

/// Returns the sizes from 1 unit to `max_units`. The probability of a size is inversely
/// proportional to its square.
fn size_classes(max_units: f64) -> impl Iterator<Item = SizeClass> {
    let sizes = 1..=(max_units as u32).max(1);
    sizes.map(|units| SizeClass {
        units: f64::from(units),
        weight: 1.0 / f64::from(units * units),
    })
}

/// Draws the size of a request, in units.
pub(super) fn draw_units(rng: &mut Rng, max_units: f64) -> f64 {
    let mut drawn =
        rng.random::<f64>() * size_classes(max_units).map(|size| size.weight).sum::<f64>();
    for size in size_classes(max_units) {
        drawn -= size.weight;
        if drawn <= 0.0 {
            return size.units;
        }
    }
    1.0
}

/// Returns the mean size of a request, in units.
pub(super) fn mean_units(max_units: f64) -> f64 {
    let total: f64 = size_classes(max_units).map(|size| size.weight).sum();
    size_classes(max_units)
        .map(|size| size.units * size.weight)
        .sum::<f64>()
        / total
}
