//! Samples of latency ratios (latency divided by the latency objective of the class), collected
//! between two control ticks.

use crate::types::ClassId;

/// Sum and count of the latency ratios of one class.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassSamples {
    sum: f64,
    count: f64,
}

impl ClassSamples {
    pub(crate) fn add(&mut self, ratio: f64) {
        self.sum += ratio;
        self.count += 1.0;
    }

    /// Returns the mean latency ratio, or `None` without samples.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

/// The samples of all classes since the last control tick, indexed by class.
pub(crate) struct LatencySamples(Vec<ClassSamples>);

impl LatencySamples {
    /// Creates an empty set of samples for the given number of classes.
    pub(crate) fn new(classes: usize) -> Self {
        LatencySamples(vec![ClassSamples::default(); classes])
    }

    pub(crate) fn class_samples_mut(&mut self, class: ClassId) -> &mut ClassSamples {
        &mut self.0[class.0]
    }

    /// Returns all samples and resets the collection for the next period.
    pub(crate) fn take(&mut self) -> LatencySamples {
        let empty = LatencySamples::new(self.0.len());
        std::mem::replace(self, empty)
    }

    /// Iterates over the samples of each class, ordered by class id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ClassSamples> {
        self.0.iter()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/latency_samples.rs"]
mod tests;
