//! Measured figures with statistical bounds.

use serde::Serialize;

/// A measured value with bounds between which the true value lies, except by chance.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figure {
    /// Value as measured, between the two bounds.
    pub value: f64,
    /// Lower bound of the true value.
    pub low: f64,
    /// Upper bound of the true value.
    pub high: f64,
}

impl Figure {
    /// Returns a figure whose measured value is off by at most `error`; the lower bound is at least
    /// 0.
    pub(super) fn around(value: f64, error: f64) -> Figure {
        Figure {
            value,
            low: (value - error).max(0.0),
            high: value + error,
        }
    }

    /// Returns whether the true values of two figures may be within a factor of each other.
    pub fn agrees(&self, other: &Figure, factor: f64) -> bool {
        self.low <= other.high * factor && other.low <= self.high * factor
    }
}
