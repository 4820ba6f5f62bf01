//! Times from the arrival of requests to their final answers.

use gateway_core::DurationExt;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Longest time that a histogram holds, in µs.
const MAX_TIME_US: u64 = 3_600_000_000;
/// Significant decimal digits of times in a histogram.
const TIME_DIGITS: u8 = 3;
const MICROSECONDS_PER_MILLISECOND: f64 = 1e3;

/// A histogram of times.
#[derive(Clone)]
pub struct TimeHistogram(Histogram<u64>);

impl TimeHistogram {
    /// Creates an empty histogram.
    ///
    /// # Errors
    /// An error if the histogram cannot be created.
    pub(super) fn new() -> anyhow::Result<TimeHistogram> {
        let histogram = Histogram::new_with_bounds(1, MAX_TIME_US, TIME_DIGITS)?;
        Ok(TimeHistogram(histogram))
    }

    /// Records a time. Deadlines bound all times far below the limit of the histogram.
    pub(super) fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.whole_micros().max(1));
    }

    /// Returns a quantile of the recorded times, in ms; 0 if there are none.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND
    }
}

/// Times to the final answers of the requests of one class.
#[derive(Clone)]
pub struct AnswerTimes {
    /// Times to the answers of servers.
    pub served: TimeHistogram,
    /// Times to the rejections and failures.
    pub unserved: TimeHistogram,
}

impl AnswerTimes {
    /// Creates empty histograms.
    ///
    /// # Errors
    /// An error if a histogram cannot be created.
    pub(super) fn new() -> anyhow::Result<AnswerTimes> {
        Ok(AnswerTimes {
            served: TimeHistogram::new()?,
            unserved: TimeHistogram::new()?,
        })
    }
}
