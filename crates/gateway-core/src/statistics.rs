//! Small statistics that the policy uses.

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

/// Share of the values that lie below `value`.
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
    pub from: f64,
    pub to: f64,
}

impl Ramp {
    pub(crate) fn position(&self, value: f64) -> f64 {
        ((value - self.from) / (self.to - self.from)).clamp(0.0, 1.0)
    }
}

/// Moves an exponentially weighted mean towards a sample.
pub(crate) fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}

/// The median of ascending values; of two in the middle the lesser or the greater.
pub(crate) fn median(ascending: &[f64], lesser: bool) -> Option<f64> {
    let count = if lesser {
        ascending.len().saturating_sub(1)
    } else {
        ascending.len()
    };
    ascending.get(count / 2).copied()
}
