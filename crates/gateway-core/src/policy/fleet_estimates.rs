//! Estimates of the whole fleet: the weight of each observation in them.
//!
//! 1. [`INITIAL_LATENCY`] gives the latency that is expected before anything has been
//!    observed.
//! 2. Each attempt that ends counts with [`LATENCY_WEIGHT`] in the mean latency and the mean
//!    service time, and with [`ZONE_WEIGHT`] in the reachability of its zone.
//! 3. At each control tick, this gateway's throughput counts with
//!    [`FleetEstimation::own_throughput_weight`], and [`FleetEstimation::median`] selects the
//!    median over the servers.
//! 4. A peer's throughput counts with [`PEER_THROUGHPUT_WEIGHT`].

use crate::state::deployment::FleetMode;
use crate::statistics::{lower_median, upper_median};
use std::time::Duration;

/// Expected latency per concurrent request before anything has been observed. It does not depend on
/// the settings, which state what clients wish for and not how long the work takes.
pub(crate) const INITIAL_LATENCY: Duration = Duration::from_millis(100);
/// Weight of an attempt in the mean latency and the mean service time of all servers.
pub(crate) const LATENCY_WEIGHT: f64 = 0.02;
/// Weight of an attempt in the reachability of its zone.
pub(crate) const ZONE_WEIGHT: f64 = 0.2;
/// Weight of the throughput that one peer reports in the mean throughput of a gateway.
pub(crate) const PEER_THROUGHPUT_WEIGHT: f64 = 0.05;
/// Weight of this gateway's throughput at a control tick in the mean throughput of a gateway, in a
/// small fleet, where peers report no throughput.
const OWN_THROUGHPUT_WEIGHT: f64 = 0.125;

/// Sources of the fleet estimates, which follow from the fleet mode and never change.
#[derive(Clone, Copy)]
pub(crate) enum FleetEstimation {
    /// This gateway's observations.
    SmallFleet,
    /// This gateway's observations and peers' reports.
    LargeFleet,
}

impl FleetEstimation {
    /// Returns the sources for a fleet of this mode.
    pub(crate) fn new(mode: FleetMode) -> Self {
        match mode {
            FleetMode::Gossip => FleetEstimation::SmallFleet,
            FleetMode::Leases => FleetEstimation::LargeFleet,
        }
    }

    /// Returns the weight of this gateway's throughput at a control tick in the mean throughput of
    /// a gateway.
    pub(crate) fn own_throughput_weight(self) -> f64 {
        match self {
            FleetEstimation::SmallFleet => OWN_THROUGHPUT_WEIGHT,
            FleetEstimation::LargeFleet => PEER_THROUGHPUT_WEIGHT,
        }
    }

    /// Returns the median of values that servers show, which are in ascending order; `None` if
    /// there are none.
    ///
    /// A small fleet uses the lower median: of a pair of servers, one that is not used cannot raise
    /// the median with which it is compared.
    pub(crate) fn median(self, ascending: &[f64]) -> Option<f64> {
        match self {
            FleetEstimation::SmallFleet => lower_median(ascending),
            FleetEstimation::LargeFleet => upper_median(ascending),
        }
    }
}
