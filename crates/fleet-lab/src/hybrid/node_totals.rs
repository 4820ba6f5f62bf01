//! What the nodes of one kind did in all.

use super::figure::Figure;
use super::observed_request::ReceivedAnswer;
use crate::world::final_answer::FinalAnswer;
use gateway_core::DurationExt;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Standard errors by which a figure may be off by chance.
const STANDARD_ERRORS: f64 = 3.0;
/// Longest wait that the histogram holds, µs.
const MAX_WAIT_US: u64 = 60_000_000;

/// What the nodes of one kind did.
#[derive(Debug)]
pub struct NodeTotals {
    /// Requests that clients sent.
    pub(super) requests: u64,
    /// Those that were served.
    pub(super) served: u64,
    /// Those that were rejected.
    pub(super) rejected: u64,
    /// Those that failed.
    pub(super) failed: u64,
    /// Waits of those that were served, µs.
    waits: Histogram<u64>,
    /// Datagrams sent.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Datagrams longer than the protocol allows.
    pub too_long: u64,
    /// Processor time of the processes, or time inside the decision library, µs.
    pub cost_us: f64,
}

impl NodeTotals {
    /// Empty totals; `None` if the histogram of waits cannot be made.
    pub fn new() -> Option<NodeTotals> {
        Some(NodeTotals {
            requests: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            waits: Histogram::new_with_max(MAX_WAIT_US, 3).ok()?,
            messages: 0,
            bytes: 0,
            too_long: 0,
            cost_us: 0.0,
        })
    }

    /// Counts a request by its final answer, and how long its client waited.
    pub fn count(&mut self, answer: Option<ReceivedAnswer>, wait: Duration) {
        self.requests += 1;
        match answer {
            Some(ReceivedAnswer::Genuine(FinalAnswer::Served)) => {
                self.served += 1;
                self.waits.saturating_record(wait.whole_micros());
            }
            Some(ReceivedAnswer::Genuine(FinalAnswer::Rejected)) => self.rejected += 1,
            Some(ReceivedAnswer::Genuine(FinalAnswer::Failed)) => self.failed += 1,
            // The invariant checker counts these as violations.
            Some(ReceivedAnswer::Forged) | None => {}
        }
    }

    /// A total divided by the number of requests.
    pub(super) fn per_request(&self, total: f64) -> f64 {
        total / self.requests.max(1) as f64
    }

    /// Messages sent for each request.
    pub(super) fn messages_per_request(&self) -> Figure {
        let count = self.messages as f64;
        Figure::around(
            self.per_request(count),
            self.per_request(STANDARD_ERRORS * count.sqrt()),
        )
    }

    /// Bytes sent for each request.
    pub(super) fn bytes_per_request(&self) -> Figure {
        let relative_error = STANDARD_ERRORS / (self.messages.max(1) as f64).sqrt();
        let value = self.per_request(self.bytes as f64);
        Figure::around(value, value * relative_error)
    }

    /// The fraction of the requests, with the bounds of Wilson's score interval.
    pub(super) fn fraction(&self, count: u64) -> Figure {
        // The names of the formula: n trials with a success rate of p, and z standard errors.
        let n = self.requests.max(1) as f64;
        let p = self.per_request(count as f64);
        let z = STANDARD_ERRORS;
        let center = (p + z * z / (2.0 * n)) / (1.0 + z * z / n);
        let error = z / (1.0 + z * z / n) * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
        Figure {
            value: p,
            low: (center - error).max(0.0),
            high: center + error,
        }
    }

    /// A quantile of the waits, ms, with the bounds by the ranks between which it lies.
    pub(super) fn wait_ms(&self, quantile: f64) -> Figure {
        let error =
            STANDARD_ERRORS * (quantile * (1.0 - quantile) / self.served.max(1) as f64).sqrt();
        let at =
            |quantile: f64| self.waits.value_at_quantile(quantile.clamp(0.0, 1.0)) as f64 / 1e3;
        Figure {
            value: at(quantile),
            low: at(quantile - error),
            high: at(quantile + error),
        }
    }
}
