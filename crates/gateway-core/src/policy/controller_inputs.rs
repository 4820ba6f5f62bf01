//! What the fuzzy controller observes at a control tick, which differs between small and large
//! fleets.
//!
//! The rules, in the order in which they apply at each control tick:
//! 1. Answered requests count with their latency. Open requests count with their age where the
//!    fleet's rule says so: without them, servers that hang would look fast, because nothing is
//!    answered ([`ControllerInputs::counts_open_request`]).
//! 2. The latency ratio of each class includes the mean of this gateway's samples
//!    ([`ControllerInputs::latency_ratio_weight`]), or is unknown where there are none
//!    ([`ControllerInputs::forgets_latency_ratios`]).
//! 3. The means of attempts in flight include this gateway's counts
//!    ([`ControllerInputs::in_flight_weight`]).

use crate::state::deployment::FleetMode;
use crate::state::request::Request;

/// Weight of one gateway's sample in the latency ratios of a large fleet.
pub(crate) const LATENCY_RATIO_WEIGHT: f64 = 0.2;
/// Weight of this gateway's attempts in flight at one control tick in the means of a large fleet.
const LARGE_FLEET_IN_FLIGHT_WEIGHT: f64 = 0.2;
/// Latency ratio above which a request misses its latency objective.
const OBJECTIVE_RATIO: f64 = 1.0;

/// The rules by which a gateway observes latency and load for its controller.
pub(crate) trait ControllerInputs {
    /// Whether an open request counts as a latency sample at this control tick. `latency_ratio` is
    /// its age relative to its latency objective, `mean` the mean of its class's samples so far. A
    /// rule by which a request counts only once records that in the request.
    fn counts_open_request(
        &self,
        request: &mut Request,
        latency_ratio: f64,
        mean: Option<f64>,
    ) -> bool;

    /// Weight of this gateway's samples of one control tick in the latency ratio of a class.
    fn latency_ratio_weight(&self) -> f64;

    /// Whether the latency ratio of a class becomes unknown at a control tick without samples.
    fn forgets_latency_ratios(&self) -> bool;

    /// Weight of this gateway's count at one control tick in the means of attempts in flight.
    fn in_flight_weight(&self) -> f64;

    /// Whether operators are warned when the in-flight limit starts.
    fn warns_of_missed_objectives(&self) -> bool;
}

/// The rules for a fleet of this mode.
pub(crate) fn controller_inputs(mode: FleetMode) -> &'static dyn ControllerInputs {
    match mode {
        FleetMode::Gossip => &SmallFleetInputs,
        FleetMode::Leases => &LargeFleetInputs,
    }
}

/// The rules of a small fleet: a gateway sees enough requests to judge by each control tick alone.
struct SmallFleetInputs;

impl ControllerInputs for SmallFleetInputs {
    /// An open request counts at every tick at which it raises the mean or has missed its
    /// objective.
    fn counts_open_request(
        &self,
        _request: &mut Request,
        latency_ratio: f64,
        mean: Option<f64>,
    ) -> bool {
        latency_ratio > OBJECTIVE_RATIO || mean.is_some_and(|mean| latency_ratio > mean)
    }

    /// The samples of the last control tick alone count.
    fn latency_ratio_weight(&self) -> f64 {
        1.0
    }

    fn forgets_latency_ratios(&self) -> bool {
        true
    }

    fn in_flight_weight(&self) -> f64 {
        1.0
    }

    fn warns_of_missed_objectives(&self) -> bool {
        true
    }
}

/// The rules of a large fleet: a gateway sees few requests, and its latency ratios are means over
/// the fleet, updated by gossip.
struct LargeFleetInputs;

impl ControllerInputs for LargeFleetInputs {
    /// An open request counts once, after it has missed its objective. Counted at every tick, a few
    /// hanging requests would outweigh all answers of a gateway that sees few, and by gossip those
    /// of the whole fleet, which would then shed and limit what could be served. Time without a
    /// quota grant is not the servers'.
    fn counts_open_request(
        &self,
        request: &mut Request,
        latency_ratio: f64,
        _mean: Option<f64>,
    ) -> bool {
        request.quota.grant().is_some()
            && latency_ratio > OBJECTIVE_RATIO
            && request.count_as_late()
    }

    fn latency_ratio_weight(&self) -> f64 {
        LATENCY_RATIO_WEIGHT
    }

    fn forgets_latency_ratios(&self) -> bool {
        false
    }

    fn in_flight_weight(&self) -> f64 {
        LARGE_FLEET_IN_FLIGHT_WEIGHT
    }

    /// Hundreds of gateways would flood the log.
    fn warns_of_missed_objectives(&self) -> bool {
        false
    }
}
