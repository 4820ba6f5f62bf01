//! Load shedding, an addition to the design where a gateway has too little in flight for its limit to press:
//! as the servers fill, requests are shed by chance, the lowest priority first. It prevents a jam that
//! hundreds of gateways with one attempt each would never see.

use crate::state::deployment::Context;
use crate::state::request::Request;
use crate::statistics::Ramp;

/// Where shedding begins, and where it takes all but the highest priority: by the worst latency ratio ...
const LATENCY_RAMP: Ramp = Ramp { from: 0.5, to: 1.5 };
/// ... and by the time that the median server takes, as a share of the shortest latency objective.
const LOAD_RAMP: Ramp = Ramp { from: 0.2, to: 0.6 };
/// The largest share of any priority that is shed.
const MAX_SHED_PROBABILITY: f64 = 0.9;

/// Reported loads tell of a jam an answer's time sooner than latency, which stands in where there are none.
/// The median server counts, so that a few that hang shed nobody.
fn load_pressure(context: Context<'_>) -> f64 {
    let fleet = context.fleet;
    let Some(load_factor) = fleet.load_factor() else {
        let worst = fleet.worst_latency_ratio(context.deployment.lowest_class);
        return LATENCY_RAMP.position(worst.unwrap_or(0.0));
    };
    let expected = fleet.service_time_us() * load_factor.max(1.0);
    LOAD_RAMP.position(expected / context.deployment.shortest_objective)
}

/// Probability with which a request is shed: its priority ranks among those of all classes and plans.
pub(super) fn shed_probability(context: Context<'_>, request: &Request) -> f64 {
    let rank = context.deployment.priority_rank(request);
    (2.0 * load_pressure(context) - rank).clamp(0.0, MAX_SHED_PROBABILITY)
}
