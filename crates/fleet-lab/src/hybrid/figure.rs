//! A figure with its statistical bounds.

use serde::Serialize;

/// A figure with the bounds between which its true value lies but for chance.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figure {
    /// As measured.
    pub value: f64,
    /// Lower bound.
    pub low: f64,
    /// Upper bound.
    pub high: f64,
}

impl Figure {
    /// A figure that is off by this error at most.
    pub(super) fn around(value: f64, error: f64) -> Figure {
        Figure {
            value,
            low: (value - error).max(0.0),
            high: value + error,
        }
    }

    /// Whether two figures may be within a factor of each other.
    pub fn agrees(&self, other: &Figure, factor: f64) -> bool {
        self.low <= other.high * factor && other.low <= self.high * factor
    }
}
