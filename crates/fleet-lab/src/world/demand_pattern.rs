//! How customers use their quotas over time: steadily, in long phases beyond the quota, or in short bursts.

use super::{Rng, START};
use crate::time::duration_from_seconds;
use gateway_core::Timestamp;
use rand::Rng as _;

/// What a customer uses of its quota between two bursts.
const BETWEEN_BURSTS_RATIO: f64 = 0.4;
/// Mean of what a customer with long phases uses of its quota within it.
const MEAN_SUSTAINED_RATIO: f64 = 0.7;
/// Mean of what a customer with short bursts uses of its quota within it.
const MEAN_BURSTY_RATIO: f64 = 0.5;
/// Customers are drawn by a random number from 0 to 1: below this one, they steadily use nearly their quota.
const NEAR_QUOTA_CUMULATIVE_PROBABILITY: f64 = 0.17;
/// Those from there to below this number have long phases beyond their quota.
const SUSTAINED_CUMULATIVE_PROBABILITY: f64 = 0.26;
/// Those from there to below this number have short bursts; all others steadily use a part of their quota.
const BURSTY_CUMULATIVE_PROBABILITY: f64 = 0.42;

/// How a customer uses its quota. Ratios are those of what it asks for to its quota.
#[derive(Clone, Copy, Debug)]
pub(super) enum DemandPattern {
    /// Always this ratio.
    Steady(f64),
    /// Long phases of up to four times the quota.
    Sustained(f64),
    /// Short bursts of several times the quota.
    Bursty(f64),
}

/// Whether a customer is at the peak of its pattern, and until when.
#[derive(Clone, Copy, Debug)]
pub(super) struct Phase {
    /// Whether the customer is at the peak.
    pub(super) is_peak: bool,
    /// End of the phase.
    pub(super) until: Timestamp,
}

impl DemandPattern {
    /// Draws the pattern of a customer.
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
        // The first burst comes at any time, not in the first moment of the simulation.
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

    /// Ratio of what is asked for now to the quota.
    pub(super) fn quota_ratio(self, is_peak: bool) -> f64 {
        match self {
            DemandPattern::Steady(ratio) => ratio,
            DemandPattern::Sustained(ratio) | DemandPattern::Bursty(ratio) if is_peak => ratio,
            DemandPattern::Sustained(_) | DemandPattern::Bursty(_) => BETWEEN_BURSTS_RATIO,
        }
    }

    /// Mean ratio of what is asked for within the quota to the quota.
    pub(super) fn mean_ratio_within_quota(self) -> f64 {
        match self {
            DemandPattern::Steady(ratio) => ratio,
            DemandPattern::Sustained(_) => MEAN_SUSTAINED_RATIO,
            DemandPattern::Bursty(_) => MEAN_BURSTY_RATIO,
        }
    }

    /// The pattern with its steady ratio multiplied.
    pub(super) fn scaled(self, factor: f64) -> DemandPattern {
        match self {
            DemandPattern::Steady(ratio) => DemandPattern::Steady(ratio * factor),
            other => other,
        }
    }
}
