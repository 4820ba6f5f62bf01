//! Statistical functions that the policies share.

use crate::time::{DurationExt, MICROS_PER_SECOND};
use std::time::Duration;

/// Returns the probability that a Poisson variable with this mean is below `limit`.
pub(crate) fn poisson_below(limit: u32, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for number in 0..limit {
        below += term;
        term *= mean / f64::from(number + 1);
    }
    below
}

/// Returns the fraction of the values in `all` that are below `value`; 0 if there are none.
pub(crate) fn percentile_rank(value: f64, all: impl Iterator<Item = f64>) -> f64 {
    let mut below = 0.0;
    let mut count = 0.0_f64;
    for other in all {
        below += f64::from(u8::from(other < value));
        count += 1.0;
    }
    below / count.max(1.0)
}

/// A function that is 0 up to `from`, 1 beyond `to`, and linear in between.
pub(crate) struct Ramp {
    /// Value up to which the ramp is 0.
    pub from: f64,
    /// Value from which on the ramp is 1.
    pub to: f64,
}

impl Ramp {
    /// Returns the ramp at a value, from 0 to 1.
    pub(crate) fn position(&self, value: f64) -> f64 {
        ((value - self.from) / (self.to - self.from)).clamp(0.0, 1.0)
    }
}

/// Adds a sample to an exponentially weighted moving average, with a weight from 0 to 1.
pub(crate) fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}

/// Returns the lower median of ascending values: the smaller of the two middle values if their
/// number is even. `None` if there are no values.
pub(crate) fn lower_median(ascending: &[f64]) -> Option<f64> {
    ascending
        .get(ascending.len().saturating_sub(1) / 2)
        .copied()
}

/// Returns the upper median of ascending values: the larger of the two middle values if their
/// number is even. `None` if there are no values.
pub(crate) fn upper_median(ascending: &[f64]) -> Option<f64> {
    ascending.get(ascending.len() / 2).copied()
}

/// Converts a count to a floating-point number.
pub(crate) fn count_as_f64(count: usize) -> f64 {
    count as f64
}

/// Returns the smallest count that is not below a number; 0 for a negative number.
pub(crate) fn round_up_to_count(number: f64) -> usize {
    number.ceil() as usize
}

/// Returns the expected number of events in a period at a rate per second.
pub(crate) fn expected_count(rate_per_second: f64, period: Duration) -> f64 {
    rate_per_second * period.as_micros_f64() / MICROS_PER_SECOND
}
