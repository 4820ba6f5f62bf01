//! Load shedding: in a large fleet, requests are rejected at random as the servers fill up, those
//! of the lowest priority first.
//!
//! It is needed in addition to the in-flight limit: where hundreds of gateways have about one
//! attempt in flight each, no gateway's in-flight limit can detect an overload.
//!
//! The rules, in the order in which they apply:
//! 1. The overload level is estimated from reported loads and from the time for which the client
//!    waits, or from latency ratios while no load has been reported ([`overload_level`]).
//! 2. The overload level and the rank of the request's priority among those of all classes and
//!    plans give the probability with which the request is shed ([`shed_probability`]).

use super::priority::priority_rank;
use crate::state::deployment::Context;
use crate::state::request::Request;
use crate::statistics::Ramp;
use crate::time::DurationExt;

/// Worst latency ratios between which the overload level rises from 0 to 1, around the target of 1
/// that the design sets for them (D).
const LATENCY_RATIO_RAMP: Ramp = Ramp { from: 0.5, to: 1.5 };
/// Expected latencies of the median server, as fractions of the client's timeout, between which the
/// overload level rises from 0 to 1. A client needs the rest of its time for requests that take longer
/// than others, and for a retry on another server.
const TIMEOUT_FRACTION_RAMP: Ramp = Ramp { from: 0.1, to: 0.3 };
/// Largest probability with which a request is shed, so that some requests are always sent, whose
/// answers carry load reports.
const MAX_SHED_PROBABILITY: f64 = 0.9;
/// Increase of the shed probability per 1.0 of the overload level. The probability rises above 0 at
/// a level of 0 for the lowest rank, and at a level of 0.5 for the highest.
const SHED_PROBABILITY_PER_LEVEL: f64 = 2.0;

/// Returns the probability, from 0 to [`MAX_SHED_PROBABILITY`], with which a request that has just
/// arrived is shed. It rises with the overload level, and falls with the rank of the request among
/// the priorities of all classes and plans.
pub(super) fn shed_probability(context: Context<'_>, request: &Request) -> f64 {
    let rank = priority_rank(context.deployment, request);
    (SHED_PROBABILITY_PER_LEVEL * overload_level(context, request) - rank)
        .clamp(0.0, MAX_SHED_PROBABILITY)
}

/// Returns how overloaded the servers are for a request, from 0 (not at all) to 1.
///
/// The level follows from the load that servers report, because latency shows an overload only once
/// an answer has arrived. The load of the median server is used, so that a few hanging servers
/// cause no shedding. While no server reports its load, the worst latency ratio of the controlled
/// classes is used instead.
fn overload_level(context: Context<'_>, request: &Request) -> f64 {
    let fleet = context.fleet;
    let Some(load_factor) = fleet.load_factor() else {
        let worst_ratio = fleet.worst_latency_ratio(context.deployment.lowest_class);
        return LATENCY_RATIO_RAMP.position(worst_ratio.unwrap_or(0.0));
    };
    let expected_latency_us = fleet.service_time_us() * load_factor.max(1.0);
    let timeout_us = request.client_timeout().as_micros_f64().max(1.0);
    TIMEOUT_FRACTION_RAMP.position(expected_latency_us / timeout_us)
}
