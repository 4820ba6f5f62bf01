//! The settings, and what follows from them once and for all.

use super::request::Request;
use super::servers::FleetEstimates;
use crate::settings::{Class, Plan, Settings};
use crate::statistics::percentile_rank;
use crate::time::{DurationExt, Timestamp};
use crate::types::ClassId;

/// How gateways share quotas, and what they can learn of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetMode {
    /// A small fleet: each gateway broadcasts its usage, and its own buckets decide.
    Gossip,
    /// An addition to the design, for fleets in which usage could be broadcast too seldom: each customer's
    /// quota is kept by few owners among its gateways, which grant leases.
    Leases,
}

/// The settings, the mode of the fleet, and figures derived from them.
pub(crate) struct Deployment {
    pub(crate) settings: Settings,
    pub(crate) mode: FleetMode,
    /// The shortest latency objective of all classes, in µs.
    pub(crate) shortest_objective: f64,
    /// The class of the lowest priority weight, the first of several.
    pub(crate) lowest_class: ClassId,
}

impl Deployment {
    pub(crate) fn new(settings: Settings, mode: FleetMode) -> Self {
        let classes = &settings.classes;
        let shortest = classes.iter().map(|class| class.latency_objective).min();
        let weight = |index: &usize| classes[*index].priority_weight;
        let lowest = (0..classes.len()).min_by(|a, b| weight(a).total_cmp(&weight(b)));
        Deployment {
            mode,
            shortest_objective: shortest.unwrap_or_default().as_micros_f64().max(1.0),
            lowest_class: ClassId(lowest.unwrap_or(0)),
            settings,
        }
    }

    pub(crate) fn class_of(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class().0]
    }

    /// Priority of a request, while its answer is in time.
    pub(crate) fn priority(&self, request: &Request) -> f64 {
        self.class_of(request).priority_weight * self.plan_of(request).weight
    }

    /// Share of all combinations of class and plan that have a lower priority than a request.
    pub(crate) fn priority_rank(&self, request: &Request) -> f64 {
        let plans = &self.settings.plans;
        let of_class = |class: &Class| {
            let weight = class.priority_weight;
            plans.iter().map(move |plan| weight * plan.weight)
        };
        let all = self.settings.classes.iter().flat_map(of_class);
        percentile_rank(self.priority(request), all)
    }

    /// When the latency objective of a request's class ends for it.
    pub(crate) fn objective_deadline(&self, request: &Request) -> Timestamp {
        request.arrived_at() + self.class_of(request).latency_objective
    }

    /// Whether an answer to a request has any value after its latency objective.
    pub(crate) fn has_value_when_late(&self, request: &Request) -> bool {
        self.class_of(request).late_weight > 0.0
    }

    /// Whether quota owners grant each request its units before it is first sent.
    pub(crate) fn quota_owners_grant(&self) -> bool {
        self.mode == FleetMode::Leases
    }

    pub(crate) fn plan_of(&self, request: &Request) -> &Plan {
        &self.settings.plans[request.plan().0]
    }
}

/// What decisions depend on, apart from the request, bucket or server in question.
#[derive(Clone, Copy)]
pub(crate) struct Context<'a> {
    pub(crate) now: Timestamp,
    pub(crate) deployment: &'a Deployment,
    pub(crate) fleet: &'a FleetEstimates,
}
