//! Mean latency ratios between two control ticks.

use super::*;

#[test]
fn take_returns_mean_of_each_class_and_resets_samples() {
    let mut samples = LatencySamples::new(2);
    samples.class_samples_mut(ClassId(1)).add(1.0);
    samples.class_samples_mut(ClassId(1)).add(2.0);
    let means =
        |samples: &LatencySamples| samples.iter().map(ClassSamples::mean).collect::<Vec<_>>();
    assert_eq!(means(&samples.take()), [None, Some(1.5)]);
    assert_eq!(means(&samples), [None, None]);
}
