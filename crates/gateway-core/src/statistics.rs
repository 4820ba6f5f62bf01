//! Small statistics that the policy uses.

use crate::time::{DurationExt, MICROS_PER_SECOND};
use std::time::Duration;

/// Probability that a Poisson variable with this mean is below `limit`.
pub(crate) fn poisson_below(limit: u32, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for number in 0..limit {
        below += term;
        term *= mean / f64::from(number + 1);
    }
    below
}

/// Fraction of the values that lie below `value`.
pub(crate) fn percentile_rank(value: f64, all: impl Iterator<Item = f64>) -> f64 {
    let mut below = 0.0;
    let mut count = 0.0_f64;
    for other in all {
        below += f64::from(u8::from(other < value));
        count += 1.0;
    }
    below / count.max(1.0)
}

/// Rises evenly from 0 to 1 between two values.
pub(crate) struct Ramp {
    /// Value up to which the ramp is 0.
    pub from: f64,
    /// Value from which on the ramp is 1.
    pub to: f64,
}

impl Ramp {
    /// How far a value is from `from` to `to`.
    pub(crate) fn position(&self, value: f64) -> f64 {
        ((value - self.from) / (self.to - self.from)).clamp(0.0, 1.0)
    }
}

/// Moves an exponentially weighted mean towards a sample.
pub(crate) fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}

/// The lower median of ascending values: the lesser of two in the middle.
pub(crate) fn lower_median(ascending: &[f64]) -> Option<f64> {
    ascending
        .get(ascending.len().saturating_sub(1) / 2)
        .copied()
}

/// The upper median of ascending values: the greater of two in the middle.
pub(crate) fn upper_median(ascending: &[f64]) -> Option<f64> {
    ascending.get(ascending.len() / 2).copied()
}

/// A count as a number that rules calculate with.
pub(crate) fn count_as_f64(count: usize) -> f64 {
    count as f64
}

/// The smallest count that is not below a number; 0 for negative ones.
pub(crate) fn round_up_to_count(number: f64) -> usize {
    number.ceil() as usize
}

/// Events that are expected in a period at a rate per second.
pub(crate) fn expected_count(rate_per_second: f64, period: Duration) -> f64 {
    rate_per_second * period.as_micros_f64() / MICROS_PER_SECOND
}
