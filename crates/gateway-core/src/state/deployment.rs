//! The settings of a gateway, and values derived from them once, when the gateway starts.

use super::request::Request;
use super::servers::FleetEstimates;
use crate::settings::{Class, Plan, Settings};
use crate::time::{DurationExt, Timestamp};
use crate::types::{ClassId, PlanId};

/// How the gateways of a fleet share quotas and observations; chosen by
/// [`mode_of`](crate::policy::fleet_mode::mode_of).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetMode {
    /// In a small fleet each gateway broadcasts its usage and admits requests by its own token
    /// buckets.
    Gossip,
    /// In a large fleet, where usage could not be broadcast often enough, a few owners among a
    /// customer's gateways hold its quota and grant leases. The published eQoS design does not have
    /// this mode.
    Leases,
}

/// The settings, the fleet mode, and values derived from them, none of which change after the
/// gateway has started.
pub(crate) struct Deployment {
    /// The settings as configured, without changes.
    pub(crate) settings: Settings,
    /// How the gateways share quotas and observations.
    pub(crate) mode: FleetMode,
    /// The shortest time that clients of any class wait for an answer, in µs; at least 1.
    pub(crate) shortest_client_wait_us: f64,
    /// The class with the lowest priority weight, or the first of several such classes. Its
    /// attempts are limited in favour of the other classes, the controlled classes.
    pub(crate) lowest_class: ClassId,
    /// Whether a request needs its units granted by a quota owner before it is first sent.
    quota_owners_grant: bool,
}

impl Deployment {
    /// Derives the values from the settings and the fleet mode.
    pub(crate) fn new(settings: Settings, mode: FleetMode) -> Self {
        let classes = &settings.classes;
        let shortest = classes.iter().map(Class::longest_wait).min();
        let priority_weights = classes.iter().map(|class| class.priority_weight);
        let lowest = priority_weights
            .enumerate()
            .min_by(|(_, left), (_, right)| left.total_cmp(right));
        Deployment {
            mode,
            quota_owners_grant: mode == FleetMode::Leases,
            shortest_client_wait_us: shortest.unwrap_or_default().as_micros_f64().max(1.0),
            lowest_class: ClassId(lowest.map_or(0, |(class, _)| class)),
            settings,
        }
    }

    /// Returns whether the settings contain both the class and the plan.
    pub(crate) fn has_class_and_plan(&self, class: ClassId, plan: PlanId) -> bool {
        class.0 < self.settings.classes.len() && plan.0 < self.settings.plans.len()
    }

    /// Returns the settings of a request's class.
    pub(crate) fn class_of(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class().0]
    }

    /// Returns the time between two instants as a ratio to the latency objective of a class.
    pub(crate) fn objective_ratio(&self, class: ClassId, from: Timestamp, until: Timestamp) -> f64 {
        let objective = self.settings.classes[class.0].latency_objective;
        until.micros_since(from) / objective.as_micros_f64().max(1.0)
    }

    /// Returns whether a request needs its units granted by a quota owner before it is first sent.
    pub(crate) fn quota_owners_grant(&self) -> bool {
        self.quota_owners_grant
    }

    /// Returns the plan that a request names.
    pub(crate) fn plan_of(&self, request: &Request) -> &Plan {
        &self.settings.plans[request.plan().0]
    }
}

/// The inputs that all decisions share: the time, the settings and the estimates of the fleet.
#[derive(Clone, Copy)]
pub(crate) struct Context<'a> {
    /// The time of the event that is being handled.
    pub(crate) now: Timestamp,
    /// The settings and the values derived from them.
    pub(crate) deployment: &'a Deployment,
    /// Estimates of the latency, load and throughput of the fleet.
    pub(crate) fleet: &'a FleetEstimates,
}

impl<'a> Context<'a> {
    /// Creates the context of an event that is handled at `now`.
    pub(crate) fn new(
        now: Timestamp,
        deployment: &'a Deployment,
        fleet: &'a FleetEstimates,
    ) -> Self {
        Context {
            now,
            deployment,
            fleet,
        }
    }
}
