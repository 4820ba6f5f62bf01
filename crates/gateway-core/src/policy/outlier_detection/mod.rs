//! Outlier detection: what the end of an attempt reveals about its server, when the server is
//! ejected, and when it is probed.
//!
//! The rules, in the order in which they apply to an attempt that ends:
//!
//! 1. [`is_failure`]: whether the attempt counts as a failure of its server.
//! 2. [`OutlierDetection::connect_backoff`]: for how long a server that accepted no connection
//!    receives no attempts (large fleet).
//! 3. [`reveals_zone_reachability`]: whether the attempt counts for the reachability of its zone.
//! 4. [`counted_latency_us`] and [`OutlierDetection::observe_latency`]: how its latency enters the
//!    estimate.
//! 5. [`observe_answer`]: how an answered probe leads to readmission.
//! 6. [`update_ejection`]: when a server is ejected for a class, and when it is readmitted.
//!
//! While attempts are in flight, [`is_stalled`] detects servers that accept requests and answer
//! none, and [`eject_stalled`] ejects them, unless this gateway itself is slow ([`is_timer_late`]).
//! An ejected server is probed after [`OutlierDetection::probe_interval`]. Rules that depend on the
//! size of the fleet are in the modules [`small_fleet`] and [`large_fleet`].

mod ejection;
mod failures;
mod large_fleet;
mod small_fleet;
mod stalls;

use crate::settings::Settings;
use crate::state::deployment::FleetMode;
use crate::state::servers::{ConnectBackoff, Server};
use crate::time::Timestamp;
use std::time::Duration;

use large_fleet::LargeFleet;

pub(super) use ejection::EJECTION_FAILURE_RATE;
pub(crate) use ejection::{eject_stalled, observe_answer, update_ejection};
pub(crate) use failures::{
    counted_latency_us, is_failure, reveals_zone_reachability, FAILURE_WEIGHT,
    OTHER_CLASS_WEIGHT_FRACTION,
};
pub(super) use small_fleet::SMALL_FLEET_LATENCY_HALF_LIFE_US;
pub(crate) use stalls::{is_stalled, is_timer_late};

/// Time without use or reports after which the health of a server is dropped, if not all servers
/// are tracked.
pub(crate) const MAX_SERVER_IDLE: Duration = Duration::from_secs(20);
/// Weight of an attempt in its server's expected latency.
const SERVER_LATENCY_WEIGHT: f64 = 0.15;

/// Rules by which the health of servers is observed, which follow from the fleet mode and never
/// change.
#[derive(Clone, Copy)]
pub(crate) enum OutlierDetection {
    /// Each gateway sees every server often.
    SmallFleet,
    /// Each gateway sees a server seldom, and hundreds of gateways act on it.
    LargeFleet(LargeFleet),
}

impl OutlierDetection {
    /// Creates the rules for a fleet of this mode.
    pub(crate) fn new(settings: &Settings, mode: FleetMode) -> Self {
        match mode {
            FleetMode::Gossip => OutlierDetection::SmallFleet,
            FleetMode::Leases => OutlierDetection::LargeFleet(LargeFleet::new(settings)),
        }
    }

    /// Returns the time until the next probe of an ejected server. `draw` is random, from 0 to 1.
    pub(crate) fn probe_interval(&self, draw: f64) -> Duration {
        match self {
            OutlierDetection::SmallFleet => ejection::PROBE_INTERVAL,
            OutlierDetection::LargeFleet(rules) => rules.probe_interval(draw),
        }
    }

    /// Returns the backoff of a server if an attempt could not connect; `None` in a small fleet,
    /// which has no connect backoff.
    pub(crate) fn connect_backoff(&self, random: &mut fastrand::Rng) -> Option<ConnectBackoff> {
        match self {
            OutlierDetection::SmallFleet => None,
            OutlierDetection::LargeFleet(_) => Some(large_fleet::connect_backoff(random)),
        }
    }

    /// Merges a sample of a server's latency per concurrent request into its estimate. `sample_us`
    /// and the fleet's `median_us` are in µs.
    pub(crate) fn observe_latency(
        &self,
        server: &mut Server,
        now: Timestamp,
        sample_us: f64,
        median_us: f64,
    ) {
        match self {
            OutlierDetection::SmallFleet => {
                small_fleet::observe_latency(server, now, sample_us, median_us);
            }
            OutlierDetection::LargeFleet(_) => {
                large_fleet::observe_latency(server, now, sample_us, median_us);
            }
        }
    }

    /// Returns the minimum failure rate that one stalled attempt proves.
    pub(crate) fn stall_failure_rate(&self) -> f64 {
        match self {
            OutlierDetection::SmallFleet => small_fleet::STALL_FAILURE_RATE,
            OutlierDetection::LargeFleet(_) => large_fleet::STALL_FAILURE_RATE,
        }
    }

    /// Returns whether operators are warned of each stalled server.
    pub(crate) fn warns_of_stalled_servers(&self) -> bool {
        match self {
            OutlierDetection::SmallFleet => true,
            // Hundreds of gateways would flood the log.
            OutlierDetection::LargeFleet(_) => false,
        }
    }
}
