//! Use of a customer's quota over time: steady, in long phases beyond the quota, or in short
//! bursts.

use super::{Rng, START};
use crate::time::duration_from_seconds;
use gateway_core::Timestamp;
use rand::Rng as _;

/// Ratio of demand to quota between the peaks of a sustained or bursty pattern.
const BETWEEN_BURSTS_RATIO: f64 = 0.4;
/// Mean ratio of demand within the quota to the quota, for a customer with long phases beyond the
/// quota.
const MEAN_SUSTAINED_RATIO: f64 = 0.7;
/// Mean ratio of demand within the quota to the quota, for a customer with short bursts.
const MEAN_BURSTY_RATIO: f64 = 0.5;
/// Probability that a customer steadily uses nearly its whole quota.
const NEAR_QUOTA_CUMULATIVE_PROBABILITY: f64 = 0.17;
/// Cumulative probability up to and including customers with long phases beyond their quota.
const SUSTAINED_CUMULATIVE_PROBABILITY: f64 = 0.26;
/// Cumulative probability up to and including customers with short bursts. All others steadily use
/// a part of their quota.
const BURSTY_CUMULATIVE_PROBABILITY: f64 = 0.42;

/// Pattern of a customer's demand. The ratios are those of demand to quota.
#[derive(Clone, Copy, Debug)]
pub(super) enum DemandPattern {
    /// A constant ratio below 1.
    Steady(f64),
    /// Long phases at this ratio, up to four times the quota.
    Sustained(f64),
    /// Short bursts at this ratio, several times the quota.
    Bursty(f64),
}

/// The current phase of a customer's pattern.
#[derive(Clone, Copy, Debug)]
pub(super) struct Phase {
    /// Whether the demand is at its peak.
    pub(super) is_peak: bool,
    /// End of the phase.
    pub(super) until: Timestamp,
}

impl DemandPattern {
    pub(super) fn draw(rng: &mut Rng) -> DemandPattern {
        let chance = rng.random::<f64>();
        if chance < NEAR_QUOTA_CUMULATIVE_PROBABILITY {
            DemandPattern::Steady(rng.random_range(0.85..1.0))
        } else if chance < SUSTAINED_CUMULATIVE_PROBABILITY {
            DemandPattern::Sustained(rng.random_range(1.5..4.0))
        } else if chance < BURSTY_CUMULATIVE_PROBABILITY {
            DemandPattern::Bursty(rng.random_range(2.0..7.6))
        } else {
            DemandPattern::Steady(rng.random_range(0.1..0.6))
        }
    }

    /// Draws the phase that follows the last one.
    pub(super) fn next_phase(self, rng: &mut Rng, now: Timestamp, last: Phase) -> Phase {
        // The initial phase ends at `START`. For a bursty customer, the phase after it is quiet
        // too, so that bursts begin at different times and not at the start of the simulation.
        let is_started = last.until > START;
        let (is_peak, seconds) = match self {
            DemandPattern::Steady(_) => (false, 20.0..30.0),
            DemandPattern::Sustained(_) => (!last.is_peak, 5.0..15.0),
            DemandPattern::Bursty(_) if last.is_peak => (false, 6.0..20.0),
            DemandPattern::Bursty(_) => (is_started, 1.1..4.6),
        };
        Phase {
            is_peak,
            until: now + duration_from_seconds(rng.random_range(seconds)),
        }
    }

    /// Returns the current ratio of demand to quota.
    pub(super) fn quota_ratio(self, is_peak: bool) -> f64 {
        match self {
            DemandPattern::Steady(ratio) => ratio,
            DemandPattern::Sustained(ratio) | DemandPattern::Bursty(ratio) if is_peak => ratio,
            DemandPattern::Sustained(_) | DemandPattern::Bursty(_) => BETWEEN_BURSTS_RATIO,
        }
    }

    /// Returns the mean ratio of demand within the quota to the quota.
    pub(super) fn mean_ratio_within_quota(self) -> f64 {
        match self {
            DemandPattern::Steady(ratio) => ratio,
            DemandPattern::Sustained(_) => MEAN_SUSTAINED_RATIO,
            DemandPattern::Bursty(_) => MEAN_BURSTY_RATIO,
        }
    }

    /// Returns the pattern with its steady ratio multiplied by `factor`; other patterns are
    /// unchanged.
    pub(super) fn scaled(self, factor: f64) -> DemandPattern {
        match self {
            DemandPattern::Steady(ratio) => DemandPattern::Steady(ratio * factor),
            other => other,
        }
    }
}
