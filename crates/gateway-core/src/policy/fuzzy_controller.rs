//! The self-tuning fuzzy controller (STFC) of the design: a first rule base moves the in-flight limit of the
//! lowest-priority class, a second one tunes how far (alpha).

use crate::fuzzy_inference::infer;
use crate::state::deployment::FleetMode;
use crate::state::request::Request;
use crate::state::servers::FleetEstimates;
use crate::time::Timestamp;
use std::time::Duration;

/// µs of a control tick; the paper's 4 s is longer than the bursts here.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(500);
/// Latency ratio at which the controller rests (the design's D).
const SET_POINT: f64 = 1.0;
/// Input gains, in 1 / latency ratio: an error of 1 and a change of 0.5 are large.
const ERROR_GAIN: f64 = 1.0;
const CHANGE_GAIN: f64 = 2.0;
/// Output gain, as a share of what is in flight: tuned at alpha 1, then tripled.
const OUTPUT_GAIN: f64 = 3.0 * 0.15;
/// Attempts over all gateways: the least limit, at which its class still shows in the latency ratio ...
const MIN_LIMIT: f64 = 6.0;
/// ... and how far the limit may lead what was in flight.
const MAX_LEAD: f64 = 12.0;
/// Outermost levels of the outputs of the two rule bases.
const LARGEST_CHANGE: f64 = 3.0;
const LARGEST_ALPHA: f64 = 6.0;

/// Change of what the controlled classes get, -3 to 3, for such levels of error and change. The paper prints
/// one entry, (PS, PM) = NL; the rest follow its zones: reverse what goes away, go easy on what corrects
/// itself.
fn change_rule(error: i32, change: i32) -> i32 {
    -(error + change).clamp(-3, 3)
}

/// Alpha, 0 to 6, from the paper's five zones: large where a large error grows or a disturbance begins, small
/// where it corrects itself, 0 at rest.
fn alpha_rule(error: i32, change: i32) -> i32 {
    let far = error.abs();
    let fast = change.abs();
    match error * change {
        0 => (2 * (far + fast)).min(6),
        1.. => (far + fast + 2).min(6),
        _ => (1 + 2 * (fast - far)).clamp(1, 6),
    }
}

/// What the two rule bases say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inference {
    /// The change asked for, -1 to 1.
    pub change: f64,
    /// How much of it is made, 0 to 1.
    pub alpha: f64,
}

/// Infers from an error and its change, each scaled to 1.
pub fn infer_change(error: f64, change: f64) -> Inference {
    Inference {
        change: infer(change_rule, error, change, LARGEST_CHANGE),
        alpha: infer(alpha_rule, error, change, LARGEST_ALPHA),
    }
}

/// Whether an open request counts as a sample of latency at a control tick: a hang would look fast, as
/// nothing is answered. In a large fleet it counts once only: a few that hang, counted at every tick, would
/// outweigh all answers of a gateway that sees few, and by gossip those of the fleet, which would then shed
/// and limit what could be served.
pub(crate) fn counts_while_open(
    mode: FleetMode,
    request: &mut Request,
    ratio: f64,
    mean: Option<f64>,
) -> bool {
    match mode {
        FleetMode::Gossip => ratio > 1.0 || mean.is_some_and(|mean| ratio > mean),
        FleetMode::Leases => {
            let counts = request.quota.grant.is_some() && ratio > 1.0 && !request.counted_late;
            request.counted_late |= counts;
            counts
        }
    }
}

/// State of the controller.
#[derive(Default)]
pub(crate) struct FuzzyController {
    /// The in-flight limit of the lowest class; `None` until the controlled classes miss their objectives.
    limit: Option<f64>,
    last_error: Option<f64>,
    /// The most attempts of the lowest class in flight since the last tick.
    peak: f64,
    /// Attempts that a limit under one still allows, saved up at its pace.
    pacing_tokens: f64,
    paced_at: Timestamp,
}

impl FuzzyController {
    pub(crate) fn is_limiting(&self) -> bool {
        self.limit.is_some()
    }

    /// Whether one more attempt of the lowest class may be sent. A limit under one is kept on average, by
    /// pacing.
    pub(crate) fn allows(&mut self, in_flight: f64, now: Timestamp, mean_latency: f64) -> bool {
        let Some(limit) = self.limit else { return true };
        let latencies = now.micros_since(self.paced_at) / mean_latency.max(1.0);
        self.pacing_tokens = (self.pacing_tokens.max(0.0) + limit * latencies).min(1.0);
        self.paced_at = now;
        let paced = limit < 1.0 && in_flight < 1.0 && self.pacing_tokens >= 1.0;
        in_flight + 1.0 <= limit || paced
    }

    pub(crate) fn consume_pacing_token(&mut self) {
        self.pacing_tokens -= 1.0;
    }

    /// A control tick, at the worst latency ratio of the controlled classes; while that is unknown the limit
    /// stays. `share`: this gateway's part of the fleet.
    pub(crate) fn tick(&mut self, latency_ratio: Option<f64>, fleet: &FleetEstimates, share: f64) {
        self.peak = self.peak.max(fleet.lowest_in_flight());
        if let Some(latency_ratio) = latency_ratio {
            self.adjust_limit(latency_ratio, fleet, share);
        }
        self.peak = fleet.lowest_in_flight();
    }

    fn adjust_limit(&mut self, latency_ratio: f64, fleet: &FleetEstimates, share: f64) {
        let error = SET_POINT - latency_ratio;
        let change = error - self.last_error.unwrap_or(error);
        self.last_error = Some(error);
        let least = MIN_LIMIT * share;
        let in_flight = fleet.lowest_in_flight();
        let total = fleet.total_in_flight();
        let Some(limit) = self.limit else {
            self.limit = (latency_ratio > SET_POINT).then_some(in_flight.max(least));
            return;
        };
        let inference = infer_change(error * ERROR_GAIN, change * CHANGE_GAIN);
        let moved = inference.alpha * OUTPUT_GAIN * inference.change;
        // Wind-up: a limit far above what is in flight would take long to bind again.
        let lead = (MAX_LEAD * share).max(total / 2.0);
        let most = (self.peak.max(in_flight) * 2.0 + lead).max(least);
        self.limit = Some((limit - moved * total.max(least / 2.0)).clamp(least, most));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/fuzzy_controller.rs"]
mod tests;
