//! Priority: which requests are sent first and shed last.
//!
//! The rules:
//! 1. The priority of a request is its class's priority weight times its plan's weight ([`priority`]).
//!    It does not fall while the request waits: its client still needs the answer until its deadline.
//! 2. Load shedding ranks a request among all combinations of class and plan ([`priority_rank`]).
//!
//! The design has low worth and cheap plans refused more while the servers are under pressure
//! (`shed_order = worth`).

use crate::settings::Class;
use crate::state::deployment::Deployment;
use crate::state::request::Request;
use crate::statistics::percentile_rank;

/// Returns the priority of a request.
pub(super) fn priority(deployment: &Deployment, request: &Request) -> f64 {
    deployment.class_of(request).priority_weight * deployment.plan_of(request).weight
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
    percentile_rank(priority(deployment, request), all)
}
