//! Estimates of the whole fleet: how much each observation counts in them.
//!
//! 1. [`INITIAL_LATENCY_FRACTION`]: the latency that is expected before anything was observed.
//! 2. Each attempt that ends counts with [`LATENCY_WEIGHT`] in the mean latency and the mean
//!    service time, and with [`ZONE_WEIGHT`] in the reachability of its zone.
//! 3. At each control tick, this gateway's throughput counts with
//!    [`FleetEstimation::own_throughput_weight`], and the median server is found by
//!    [`FleetEstimation::median`].
//! 4. A peer's throughput counts with [`PEER_THROUGHPUT_WEIGHT`].

use crate::state::deployment::FleetMode;
use crate::statistics::{lower_median, upper_median};

/// Expected latency per concurrent request before anything was observed, as a fraction of the
/// shortest latency objective.
pub(crate) const INITIAL_LATENCY_FRACTION: f64 = 0.12;
/// Weight of an attempt in the mean latency and the mean service time of all servers.
pub(crate) const LATENCY_WEIGHT: f64 = 0.02;
/// Weight of an attempt in the reachability of its zone.
pub(crate) const ZONE_WEIGHT: f64 = 0.2;
/// Weight of the throughput that one peer reports in the mean throughput of a gateway.
pub(crate) const PEER_THROUGHPUT_WEIGHT: f64 = 0.05;
/// Weight of this gateway's throughput at a control tick in the mean throughput of a gateway, in a
/// small fleet: there are no peers' reports to add.
const OWN_THROUGHPUT_WEIGHT: f64 = 0.125;

/// How the fleet is estimated, which follows from its mode and never changes.
#[derive(Clone, Copy)]
pub(crate) enum FleetEstimation {
    /// From this gateway's observations.
    SmallFleet,
    /// From this gateway's observations and from peers' reports.
    LargeFleet,
}

impl FleetEstimation {
    /// The design for a fleet.
    pub(crate) fn new(mode: FleetMode) -> Self {
        match mode {
            FleetMode::Gossip => FleetEstimation::SmallFleet,
            FleetMode::Leases => FleetEstimation::LargeFleet,
        }
    }

    /// Weight of this gateway's throughput at a control tick in the mean throughput of a gateway.
    pub(crate) fn own_throughput_weight(self) -> f64 {
        match self {
            FleetEstimation::SmallFleet => OWN_THROUGHPUT_WEIGHT,
            FleetEstimation::LargeFleet => PEER_THROUGHPUT_WEIGHT,
        }
    }

    /// The median of values that servers show, in ascending order; `None` if there are none. In a
    /// small fleet it is the lower median: of a pair of servers, one that is not used can't raise
    /// the median that it is compared with.
    pub(crate) fn median(self, ascending: &[f64]) -> Option<f64> {
        match self {
            FleetEstimation::SmallFleet => lower_median(ascending),
            FleetEstimation::LargeFleet => upper_median(ascending),
        }
    }
}
