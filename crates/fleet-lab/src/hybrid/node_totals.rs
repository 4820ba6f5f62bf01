//! Totals of the nodes of one kind, and the figures computed from them.

use super::figure::Figure;
use super::observed_request::ReceivedAnswer;
use crate::world::final_answer::FinalAnswer;
use gateway_core::DurationExt;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Number of standard errors by which a figure may be off by chance.
const STANDARD_ERRORS: f64 = 3.0;
/// Longest wait that the histogram holds, in µs; longer waits are counted as this one.
const MAX_WAIT_US: u64 = 60_000_000;

/// Totals of the nodes of one kind.
#[derive(Debug)]
pub struct NodeTotals {
    /// Number of requests that clients sent.
    pub(super) requests: u64,
    /// Number of requests that were served.
    pub(super) served: u64,
    /// Number of requests that were rejected.
    pub(super) rejected: u64,
    /// Number of requests that failed.
    pub(super) failed: u64,
    /// Waits of the clients whose requests were served, in µs.
    waits: Histogram<u64>,
    /// Number of datagrams that the nodes sent.
    pub messages: u64,
    /// Bytes of all datagrams that the nodes sent.
    pub bytes: u64,
    /// Number of datagrams that were longer than the protocol allows.
    pub too_long: u64,
    /// Processor time of the processes of real nodes, or time that hollow nodes spent inside the
    /// decision library, in µs.
    pub cost_us: f64,
}

impl NodeTotals {
    /// Creates empty totals; returns `None` if the histogram of waits cannot be created.
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

    /// Counts a request by its final answer, with the time for which its client waited.
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

    /// Returns a total divided by the number of requests.
    pub(super) fn per_request(&self, total: f64) -> f64 {
        total / self.requests.max(1) as f64
    }

    /// Returns the number of messages sent per request.
    pub(super) fn messages_per_request(&self) -> Figure {
        let count = self.messages as f64;
        Figure::around(
            self.per_request(count),
            self.per_request(STANDARD_ERRORS * count.sqrt()),
        )
    }

    /// Returns the number of bytes sent per request.
    pub(super) fn bytes_per_request(&self) -> Figure {
        let relative_error = STANDARD_ERRORS / (self.messages.max(1) as f64).sqrt();
        let value = self.per_request(self.bytes as f64);
        Figure::around(value, value * relative_error)
    }

    /// Returns a count as a fraction of the requests, with the bounds of Wilson's score interval.
    pub(super) fn fraction(&self, count: u64) -> Figure {
        // Symbols of the formula: n trials with a success rate of p, and z standard errors.
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

    /// Returns a quantile of the waits in ms. Its bounds are the waits at the ranks between which
    /// the quantile lies.
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
