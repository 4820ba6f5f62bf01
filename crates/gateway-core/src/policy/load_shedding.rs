//! Load shedding: in a large fleet, requests are rejected at random as the servers fill, those of
//! the lowest priority first.
//!
//! This is an addition to the design. Where hundreds of gateways have about one attempt in flight
//! each, no gateway's in-flight limit can notice an overload.
//!
//! The rules, in the order in which they apply:
//! 1. The overload is estimated from reported loads, or from latency ratios while there are none
//!    ([`overload_level`]).
//! 2. The priority of the request among those of all classes and plans decides the probability
//!    ([`shed_probability`]).

use super::priority::priority_rank;
use crate::state::deployment::Context;
use crate::state::request::Request;
use crate::statistics::Ramp;

/// Worst latency ratios between which the overload level rises from 0 to 1.
const LATENCY_RATIO_RAMP: Ramp = Ramp { from: 0.5, to: 1.5 };
/// Latencies of the median server, as fractions of the shortest latency objective, between which
/// the overload level rises from 0 to 1.
const OBJECTIVE_FRACTION_RAMP: Ramp = Ramp { from: 0.2, to: 0.6 };
/// Largest probability with which a request is shed, so that some are always sent and report the
/// load.
const MAX_SHED_PROBABILITY: f64 = 0.9;
/// Shed probability per overload level: it begins at a level of 0 for the lowest rank, at 0.5 for
/// the highest.
const SHED_PROBABILITY_PER_LEVEL: f64 = 2.0;

/// The probability, from 0 to [`MAX_SHED_PROBABILITY`], with which a request that has just arrived
/// is shed. It rises with the overload, and is smaller by the request's rank among the priorities
/// of all classes and plans.
pub(super) fn shed_probability(context: Context<'_>, request: &Request) -> f64 {
    let rank = priority_rank(context.deployment, request);
    (SHED_PROBABILITY_PER_LEVEL * overload_level(context) - rank).clamp(0.0, MAX_SHED_PROBABILITY)
}

/// How overloaded the servers are, from 0 (not at all) to 1.
///
/// The load that servers report shows an overload earlier than latency, by the time that an answer
/// takes. The median server counts, so that a few hanging servers shed nothing. While no server has
/// reported its load, the worst latency ratio of the controlled classes stands in.
fn overload_level(context: Context<'_>) -> f64 {
    let fleet = context.fleet;
    let Some(load_factor) = fleet.load_factor() else {
        let worst_ratio = fleet.worst_latency_ratio(context.deployment.lowest_class);
        return LATENCY_RATIO_RAMP.position(worst_ratio.unwrap_or(0.0));
    };
    let expected_latency_us = fleet.service_time_us() * load_factor.max(1.0);
    OBJECTIVE_FRACTION_RAMP.position(expected_latency_us / context.deployment.shortest_objective_us)
}
