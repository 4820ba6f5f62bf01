//! The self-tuning fuzzy controller (STFC) of the eQoS design. It adjusts the in-flight limit of
//! the lowest class so that all other classes, the controlled classes, meet their latency
//! objectives.
//!
//! The rules, in the order in which they apply at each control tick:
//! 1. There is no limit until the first control tick at which a controlled class misses its
//!    objective.
//! 2. Two rule bases infer the change of the limit from the error and the change of the error: one
//!    gives the direction and size of the change, the other gives alpha, the fraction of the change
//!    that is applied ([`infer_change`]).
//! 3. The limit stays between a minimum, which lets some attempts of the lowest class through, and
//!    a maximum near the number of attempts in flight.
//!
//! Terms of the design and their names in the code:
//!
//! | design | code |
//! | --- | --- |
//! | W(k) | `latency_ratio`: worst ratio of mean latency to objective of a controlled class |
//! | D(k) | `TARGET_LATENCY_RATIO` |
//! | e(k) = D(k) − W(k) | `error` |
//! | Δe(k) = e(k) − e(k−1) | `error_change` |
//! | Δu | [`Inference::change`] |
//! | α | [`Inference::alpha`] |
//! | KΔu | `OUTPUT_GAIN` |
//! | the cap | the in-flight limit of the lowest class, `FuzzyController::limit` |

use super::in_flight_limit::InFlightLimit;
use crate::fuzzy_inference::infer;
use crate::state::servers::FleetEstimates;
use std::time::Duration;

/// Interval between control ticks. The paper uses 4 s, which is longer than bursts of load here.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(500);
/// Setpoint of the latency ratio (D): the controlled classes just meet their latency objectives.
const TARGET_LATENCY_RATIO: f64 = 1.0;
/// Input gain of the error: scales an error of 1 to the outermost level.
const ERROR_GAIN: f64 = 1.0;
/// Input gain of the change of the error: scales a change of 0.5 to the outermost level.
const ERROR_CHANGE_GAIN: f64 = 2.0;
/// Output gain that suits an alpha of 1, as a fraction of the attempts in flight.
const OUTPUT_GAIN_AT_FULL_ALPHA: f64 = 0.15;
/// Output gain in use (`KΔu`), as a fraction of the attempts in flight: three times
/// [`OUTPUT_GAIN_AT_FULL_ALPHA`], as the design prescribes.
const OUTPUT_GAIN: f64 = 3.0 * OUTPUT_GAIN_AT_FULL_ALPHA;
/// Minimum sum of the limits of all gateways, in attempts.
const MIN_FLEET_LIMIT_ATTEMPTS: f64 = 6.0;
/// Headroom in the maximum limit, summed over all gateways, in attempts.
const FLEET_HEADROOM_ATTEMPTS: f64 = 12.0;
/// Headroom in the maximum limit of a gateway with many attempts in flight, as a fraction of them.
const HEADROOM_FRACTION: f64 = 0.5;
/// Maximum limit without the headroom, as a multiple of the lowest class's recent peak in flight.
const MAX_LIMIT_PEAK_RATIO: f64 = 2.0;
/// Minimum number of attempts to which a change of the limit is proportional, as a fraction of the
/// minimum limit. A change is proportional to the number of attempts in flight if that is larger.
const MIN_STEP_BASE_FRACTION: f64 = 0.5;
/// Outermost output level of the rule base for the change.
const LARGEST_CHANGE_LEVEL: i32 = 3;
/// Outermost output level of the rule base for alpha.
const LARGEST_ALPHA_LEVEL: i32 = 6;

/// Applies the rule base for the change Δu: returns an output level from -3 to 3 for levels of the
/// error and of its change.
///
/// The paper prints one entry, (PS, PM) = NL. The other entries follow the zones of the paper: they
/// oppose a move away from the target, and intervene little where the error corrects itself.
fn change_rule(error: i32, error_change: i32) -> i32 {
    -(error + error_change).clamp(-LARGEST_CHANGE_LEVEL, LARGEST_CHANGE_LEVEL)
}

/// Applies the rule base for alpha: returns an output level from 0 to 6 for levels of the error and
/// of its change.
///
/// According to the five zones of the paper, alpha is large where a large error grows or a
/// disturbance begins, small where the error corrects itself, and 0 at rest.
fn alpha_rule(error: i32, error_change: i32) -> i32 {
    let distance = error.abs();
    let speed = error_change.abs();
    match error * error_change {
        0 => (2 * (distance + speed)).min(LARGEST_ALPHA_LEVEL),
        1.. => (distance + speed + 2).min(LARGEST_ALPHA_LEVEL),
        _ => (1 + 2 * (speed - distance)).clamp(1, LARGEST_ALPHA_LEVEL),
    }
}

/// Outputs of both rule bases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inference {
    /// Change Δu, from -1 to 1; a positive change lowers the limit.
    pub change: f64,
    /// Alpha (α), the fraction of the change that is applied, from 0 to 1.
    pub alpha: f64,
}

/// Infers both outputs from the error and its change. The inputs are scaled so that -1 and 1 are
/// the outermost levels; inputs beyond them are clamped.
pub fn infer_change(error: f64, error_change: f64) -> Inference {
    Inference {
        change: infer(change_rule, error, error_change, LARGEST_CHANGE_LEVEL),
        alpha: infer(alpha_rule, error, error_change, LARGEST_ALPHA_LEVEL),
    }
}

/// Fuzzy controller of one gateway, which adjusts the in-flight limit of the lowest class.
#[derive(Default)]
pub(crate) struct FuzzyController {
    limit: InFlightLimit,
    /// Error at the last control tick with a known latency ratio, e(k−1); `None` if the ratio has
    /// been unknown so far.
    last_error: Option<f64>,
    /// Number of attempts of the lowest class in flight at the last control tick; during a control
    /// tick, the larger of the numbers at that and at the previous control tick.
    peak_in_flight: f64,
}

impl FuzzyController {
    /// Returns whether the lowest class is limited: a controlled class has missed its objective
    /// since the gateway started.
    pub(crate) fn is_limiting(&self) -> bool {
        self.limit.maximum().is_some()
    }

    /// Returns the in-flight limit of the lowest class.
    pub(crate) fn limit(&mut self) -> &mut InFlightLimit {
        &mut self.limit
    }

    /// Adjusts the limit at one control tick.
    ///
    /// `latency_ratio` is the worst latency ratio of the controlled classes; while it is unknown,
    /// the limit does not change. `fleet_fraction` is this gateway's fraction of the fleet.
    pub(crate) fn tick(
        &mut self,
        latency_ratio: Option<f64>,
        fleet: &FleetEstimates,
        fleet_fraction: f64,
    ) {
        self.peak_in_flight = self.peak_in_flight.max(fleet.lowest_class_in_flight());
        if let Some(latency_ratio) = latency_ratio {
            self.adjust_limit(latency_ratio, fleet, fleet_fraction);
        }
        self.peak_in_flight = fleet.lowest_class_in_flight();
    }

    fn adjust_limit(&mut self, latency_ratio: f64, fleet: &FleetEstimates, fleet_fraction: f64) {
        let error = TARGET_LATENCY_RATIO - latency_ratio;
        let error_change = error - self.last_error.unwrap_or(error);
        self.last_error = Some(error);
        let minimum = MIN_FLEET_LIMIT_ATTEMPTS * fleet_fraction;
        let Some(limit) = self.limit.maximum() else {
            if latency_ratio > TARGET_LATENCY_RATIO {
                self.limit
                    .set_maximum(fleet.lowest_class_in_flight().max(minimum));
            }
            return;
        };
        let inference = infer_change(error * ERROR_GAIN, error_change * ERROR_CHANGE_GAIN);
        let reduction = inference.alpha * OUTPUT_GAIN * inference.change;
        let base = fleet
            .total_in_flight()
            .max(minimum * MIN_STEP_BASE_FRACTION);
        let maximum = self.maximum_limit(fleet, fleet_fraction).max(minimum);
        self.limit
            .set_maximum((limit - reduction * base).clamp(minimum, maximum));
    }

    /// Returns the maximum limit, in attempts. A limit far above the number of attempts in flight
    /// would have no effect, and lowering it would take many control ticks (integral wind-up).
    fn maximum_limit(&self, fleet: &FleetEstimates, fleet_fraction: f64) -> f64 {
        let headroom = (FLEET_HEADROOM_ATTEMPTS * fleet_fraction)
            .max(fleet.total_in_flight() * HEADROOM_FRACTION);
        self.peak_in_flight.max(fleet.lowest_class_in_flight()) * MAX_LIMIT_PEAK_RATIO + headroom
    }
}

#[cfg(test)]
#[path = "../../tests/unit/fuzzy_controller.rs"]
mod tests;
