//! Priority: which requests are sent first and shed last.
//!
//! The rules:
//! 1. The priority of a request is its class's priority weight times its plan's weight
//!    ([`full_priority`]).
//! 2. Once the latency objective has passed, only the fraction of the priority that is given by the
//!    class's late weight remains ([`remaining_priority`]).
//! 3. Load shedding ranks a request among all combinations of class and plan ([`priority_rank`]).

use crate::settings::Class;
use crate::state::deployment::{Context, Deployment};
use crate::state::request::Request;
use crate::statistics::percentile_rank;

/// Returns the priority of a request that is answered within its latency objective.
fn full_priority(deployment: &Deployment, request: &Request) -> f64 {
    deployment.class_of(request).priority_weight * deployment.plan_of(request).weight
}

/// Returns the priority of a request that would be answered now.
pub(super) fn remaining_priority(context: Context<'_>, request: &Request) -> f64 {
    let deployment = context.deployment;
    let is_late = context.now > deployment.objective_deadline(request);
    let remaining_fraction = if is_late {
        deployment.class_of(request).late_weight
    } else {
        1.0
    };
    full_priority(deployment, request) * remaining_fraction
}

/// Returns the fraction of all combinations of class and plan that have a lower priority than a
/// request.
pub(super) fn priority_rank(deployment: &Deployment, request: &Request) -> f64 {
    let settings = &deployment.settings;
    let priorities_of_class = |class: &Class| {
        let class_weight = class.priority_weight;
        let plans = settings.plans.iter();
        plans.map(move |plan| class_weight * plan.weight)
    };
    let all = settings.classes.iter().flat_map(priorities_of_class);
    percentile_rank(full_priority(deployment, request), all)
}
