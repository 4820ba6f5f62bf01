//! Inputs of the fuzzy controller at a control tick, which differ between small and large fleets.
//!
//! The rules, in the order in which they apply at each control tick:
//! 1. An answered request is a latency sample with its latency. An open request is a sample with
//!    its age, under conditions that depend on the fleet mode
//!    ([`ControllerInputs::counts_open_request`]). Without samples of open requests, servers that
//!    hang would look fast, because they answer nothing.
//! 2. The latency ratio of each class is updated with the mean of this gateway's samples
//!    ([`ControllerInputs::latency_ratio_weight`]). Without samples it stays as it was, or becomes
//!    unknown ([`ControllerInputs::forgets_latency_ratios`]).
//! 3. The means of attempts in flight are updated with this gateway's counts
//!    ([`ControllerInputs::in_flight_weight`]).

use crate::state::deployment::FleetMode;
use crate::state::request::Request;

/// Weight of one gateway's sample in the latency ratios of a large fleet.
pub(crate) const LATENCY_RATIO_WEIGHT: f64 = 0.2;
/// Weight of this gateway's count at one control tick in the mean numbers of attempts in flight of
/// a large fleet.
const LARGE_FLEET_IN_FLIGHT_WEIGHT: f64 = 0.2;
/// Latency ratio above which a request misses its latency objective.
const OBJECTIVE_RATIO: f64 = 1.0;

/// Rules by which a gateway measures latency ratios and attempts in flight for its fuzzy
/// controller.
pub(crate) trait ControllerInputs {
    /// Returns whether an open request counts as a latency sample at this control tick.
    ///
    /// `latency_ratio` is the age of the request relative to its latency objective, `mean` the mean
    /// of its class's samples so far. A rule that counts each request only once records in the
    /// request that it was counted.
    fn counts_open_request(
        &self,
        request: &mut Request,
        latency_ratio: f64,
        mean: Option<f64>,
    ) -> bool;

    /// Returns the weight of this gateway's samples of one control tick in the latency ratio of a
    /// class, from 0 to 1.
    fn latency_ratio_weight(&self) -> f64;

    /// Returns whether the latency ratio of a class becomes unknown at a control tick without
    /// samples.
    fn forgets_latency_ratios(&self) -> bool;

    /// Returns the weight of this gateway's count at one control tick in the mean numbers of
    /// attempts in flight, from 0 to 1.
    fn in_flight_weight(&self) -> f64;

    /// Returns whether operators are warned when the in-flight limit starts.
    fn warns_of_missed_objectives(&self) -> bool;
}

/// Returns the rules for a fleet of this mode.
pub(crate) fn controller_inputs(mode: FleetMode) -> &'static dyn ControllerInputs {
    match mode {
        FleetMode::Gossip => &SmallFleetInputs,
        FleetMode::Leases => &LargeFleetInputs,
    }
}

/// Rules of a small fleet. A gateway sees enough requests to judge by each control tick alone.
struct SmallFleetInputs;

impl ControllerInputs for SmallFleetInputs {
    /// Counts an open request at every control tick at which it has missed its objective or raises
    /// the mean of its class.
    fn counts_open_request(
        &self,
        _request: &mut Request,
        latency_ratio: f64,
        mean: Option<f64>,
    ) -> bool {
        latency_ratio > OBJECTIVE_RATIO || mean.is_some_and(|mean| latency_ratio > mean)
    }

    /// Returns 1: only the samples of the last control tick count.
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

/// Rules of a large fleet. A gateway sees few requests, so its latency ratios are means over the
/// fleet, which gossip updates.
struct LargeFleetInputs;

impl ControllerInputs for LargeFleetInputs {
    /// Counts an open request once, after it has missed its objective, and only if it has a quota
    /// grant.
    ///
    /// Counted at every control tick, a few hanging requests would outweigh all answers of a
    /// gateway that sees few requests, and through gossip the answers of the whole fleet, which
    /// would then shed or limit requests that could be served. Time spent waiting for a quota grant
    /// is not caused by the servers.
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

    /// Returns `false`, because warnings of hundreds of gateways would flood the log.
    fn warns_of_missed_objectives(&self) -> bool {
        false
    }
}
