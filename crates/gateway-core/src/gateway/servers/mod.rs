//! Servers: their table, the estimates of the fleet, and the designs, chosen at the start, by which
//! the fleet is estimated, servers are selected and their health is observed.

mod control_tick;
mod health;
mod reports;
mod selection;

pub(super) use health::{StallEjection, StalledAttempt};

use crate::policy::fleet_estimates::{FleetEstimation, INITIAL_LATENCY_FRACTION};
use crate::policy::load_balancing::ServerSelection;
use crate::policy::outlier_detection::OutlierDetection;
use crate::state::deployment::{Context, Deployment};
use crate::state::servers::{FleetEstimates, ServerTable};
use crate::time::Timestamp;
use crate::types::{Endpoint, EndpointUpdate, ServerId};

/// The servers as a gateway knows them.
pub(super) struct Servers {
    table: ServerTable,
    estimates: FleetEstimates,
    fleet_concurrency: FleetConcurrency,
    estimation: FleetEstimation,
    selection: ServerSelection,
    outlier_detection: OutlierDetection,
}

/// Attempts that all servers together finish in time, retained where a sum for each choice would be
/// too much work.
#[derive(Default)]
struct FleetConcurrency {
    attempts: f64,
    valid_until: Timestamp,
}

impl Servers {
    /// No servers, and the designs for the fleet.
    pub(super) fn new(deployment: &Deployment) -> Self {
        let settings = &deployment.settings;
        let selection = ServerSelection::new(settings, deployment.mode);
        Servers {
            table: ServerTable::new(settings, selection.full_scan_limit()),
            estimates: FleetEstimates::new(settings.classes.len(), initial_latency_us(deployment)),
            fleet_concurrency: FleetConcurrency::default(),
            estimation: FleetEstimation::new(deployment.mode),
            selection,
            outlier_detection: OutlierDetection::new(settings, deployment.mode),
        }
    }

    /// Estimates of the whole fleet.
    pub(super) fn estimates(&self) -> &FleetEstimates {
        &self.estimates
    }

    /// Estimates of the whole fleet, to be changed.
    pub(super) fn estimates_mut(&mut self) -> &mut FleetEstimates {
        &mut self.estimates
    }

    /// Applies an endpoint list, or changes to it.
    pub(super) fn apply_update(
        &mut self,
        now: Timestamp,
        kind: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        self.table.apply_update(now, kind, endpoints);
    }

    /// The endpoint of a server that is tracked.
    pub(super) fn endpoint(&self, id: &ServerId) -> Option<Endpoint> {
        self.table.get(id).map(|server| *server.endpoint())
    }

    /// Records that an attempt is no longer in flight at a server.
    pub(super) fn record_attempt_finished(&mut self, id: &ServerId) {
        self.table.record_attempt_finished(id);
    }

    /// How many servers and short ids are in memory.
    pub(super) fn tracked_entries(&self) -> usize {
        self.table.tracked_entries()
    }

    /// How many servers were looked at since the start: work that tests can count.
    pub(super) fn visited(&self) -> u64 {
        self.table.visited()
    }

    /// What decisions depend on, now.
    fn context<'a>(&'a self, now: Timestamp, deployment: &'a Deployment) -> Context<'a> {
        Context::new(now, deployment, &self.estimates)
    }
}

/// Expected latency per concurrent request in µs before anything was observed.
fn initial_latency_us(deployment: &Deployment) -> f64 {
    deployment.shortest_objective_us * INITIAL_LATENCY_FRACTION
}
