//! Servers: their table, the estimates of the fleet, and the strategies for estimating the fleet,
//! selecting servers and observing their health, which are chosen when the gateway starts.

mod control_tick;
mod health;
mod reports;
mod selection;

pub(super) use health::{StallEjection, StalledAttempt};

use crate::policy::fleet_estimates::{FleetEstimation, INITIAL_LATENCY};
use crate::policy::load_balancing::ServerSelection;
use crate::policy::outlier_detection::OutlierDetection;
use crate::state::deployment::{Context, Deployment};
use crate::state::servers::{FleetEstimates, ServerTable};
use crate::time::{DurationExt, Timestamp};
use crate::types::{Endpoint, EndpointUpdate, ServerId};

/// The servers that a gateway tracks, the estimates of the fleet, and the strategies for using
/// them.
pub(super) struct Servers {
    table: ServerTable,
    estimates: FleetEstimates,
    fleet_concurrency: FleetConcurrency,
    estimation: FleetEstimation,
    selection: ServerSelection,
    outlier_detection: OutlierDetection,
}

/// The fleet concurrency, cached in a fleet with so many servers that summing it for each choice
/// would be too much work.
#[derive(Default)]
struct FleetConcurrency {
    /// Number of attempts that all servers together finish within the shortest time that clients
    /// wait.
    attempts: f64,
    valid_until: Timestamp,
}

impl Servers {
    /// Creates an empty server table, with the strategies for the fleet's mode.
    pub(super) fn new(deployment: &Deployment) -> Self {
        let settings = &deployment.settings;
        let selection = ServerSelection::new(settings, deployment.mode);
        Servers {
            table: ServerTable::new(settings, selection.full_scan_limit()),
            estimates: FleetEstimates::new(settings.classes.len(), initial_latency_us()),
            fleet_concurrency: FleetConcurrency::default(),
            estimation: FleetEstimation::new(deployment.mode),
            selection,
            outlier_detection: OutlierDetection::new(settings, deployment.mode),
        }
    }

    /// Returns the estimates of the whole fleet.
    pub(super) fn estimates(&self) -> &FleetEstimates {
        &self.estimates
    }

    /// Returns a mutable reference to the estimates of the whole fleet.
    pub(super) fn estimates_mut(&mut self) -> &mut FleetEstimates {
        &mut self.estimates
    }

    /// Applies a snapshot or a delta of the endpoint list.
    pub(super) fn apply_update(
        &mut self,
        now: Timestamp,
        kind: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        self.table.apply_update(now, kind, endpoints);
    }

    /// Returns the endpoint of a server, or `None` if the server is not tracked.
    pub(super) fn endpoint(&self, id: &ServerId) -> Option<Endpoint> {
        self.table.get(id).map(|server| *server.endpoint())
    }

    /// Records that an attempt is no longer in flight at a server.
    pub(super) fn record_attempt_finished(&mut self, id: &ServerId) {
        self.table.record_attempt_finished(id);
    }

    /// Returns the number of entries held in memory for servers and their short ids.
    pub(super) fn tracked_entries(&self) -> usize {
        self.table.tracked_entries()
    }

    /// Returns the number of server entries visited since the gateway started.
    pub(super) fn entries_visited(&self) -> u64 {
        self.table.visited()
    }

    /// Returns the context of decisions at `now`.
    fn context<'a>(&'a self, now: Timestamp, deployment: &'a Deployment) -> Context<'a> {
        Context::new(now, deployment, &self.estimates)
    }
}

/// Returns the expected latency per concurrent request, in µs, before any latency is observed.
fn initial_latency_us() -> f64 {
    INITIAL_LATENCY.as_micros_f64()
}
