//! Latency samples between two control ticks, relative to the latency objective of their class.

use crate::types::ClassId;

/// Sum and count of the latency ratios of one class.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassSamples {
    sum: f64,
    count: f64,
}

impl ClassSamples {
    /// Adds a latency ratio: a latency relative to the latency objective.
    pub(crate) fn add(&mut self, ratio: f64) {
        self.sum += ratio;
        self.count += 1.0;
    }

    /// The mean latency ratio; `None` without samples.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

/// The samples of all classes since the last control tick.
pub(crate) struct LatencySamples(Vec<ClassSamples>);

impl LatencySamples {
    /// No samples, for so many classes.
    pub(crate) fn new(classes: usize) -> Self {
        LatencySamples(vec![ClassSamples::default(); classes])
    }

    /// The samples of one class.
    pub(crate) fn class_samples_mut(&mut self, class: ClassId) -> &mut ClassSamples {
        &mut self.0[class.0]
    }

    /// Takes all samples; the next period begins without any.
    pub(crate) fn take(&mut self) -> LatencySamples {
        let empty = LatencySamples::new(self.0.len());
        std::mem::replace(self, empty)
    }

    /// The samples of each class, in the order of classes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ClassSamples> {
        self.0.iter()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/latency_samples.rs"]
mod tests;
