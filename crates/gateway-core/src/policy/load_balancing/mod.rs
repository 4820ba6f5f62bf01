//! Load balancing: which server a request is sent to.
//!
//! The rules, in the order in which they apply:
//!
//! 1. [`Selector::is_fleet_full`]: while all servers together have enough in flight, nothing is
//!    sent.
//! 2. [`Selector::has_capacity`]: which servers may be chosen from at all.
//! 3. Candidates: all servers with capacity ([`Selector::servers_with_capacity`]), or, in a large fleet
//!    with many servers, a sample of them ([`Subset::sample`]).
//! 4. [`Selector::may_receive`]: which candidates may receive this request, by ejection and
//!    deduplication scope.
//! 5. The choice among these by [`Selector::cost`]: in a small fleet [`all_servers::choose`], in a
//!    large one [`Subset::choose`].

mod all_servers;
mod capacity;
mod cost;
mod eligibility;
mod subset;

use super::retry::required_scope;
use crate::settings::{DeduplicationScope, Settings};
use crate::state::deployment::{Context, FleetMode};
use crate::state::request::Request;
use crate::state::servers::{LatencyDecay, LatencyEstimates, Server, ServerTable};
use crate::statistics::count_as_f64;
use crate::types::ServerId;

use eligibility::Choice;
pub(crate) use subset::Subset;

/// Minimum warm-up fraction that the latency of an unknown server is divided by.
const MIN_WARM_UP_FRACTION: f64 = 0.1;

/// The design by which servers are selected, which follows from the mode of the fleet and never
/// changes.
#[derive(Clone, Copy)]
pub(crate) enum ServerSelection {
    /// Small fleet: every choice scans all servers.
    AllServers,
    /// Large fleet: each gateway uses a subset of the servers.
    Subset(Subset),
}

impl ServerSelection {
    /// The design for a fleet.
    pub(crate) fn new(settings: &Settings, mode: FleetMode) -> Self {
        match mode {
            FleetMode::Gossip => ServerSelection::AllServers,
            FleetMode::Leases => ServerSelection::Subset(Subset::new(settings)),
        }
    }

    /// Number of ready servers up to which all are scanned.
    pub(crate) fn full_scan_limit(&self) -> usize {
        match self {
            ServerSelection::AllServers => all_servers::FULL_SCAN_LIMIT,
            ServerSelection::Subset(_) => subset::FULL_SCAN_LIMIT,
        }
    }

    /// How observations of servers decay with time.
    pub(crate) fn latency_decay(&self) -> &'static LatencyDecay {
        match self {
            ServerSelection::AllServers => &all_servers::LATENCY_DECAY,
            ServerSelection::Subset(_) => &subset::LATENCY_DECAY,
        }
    }

    /// Ratio of the `warm` servers to the size of this gateway's subset of the `ready` ones, at
    /// least 1; 1 where every gateway uses all servers.
    pub(super) fn servers_per_subset(&self, warm: f64, ready: usize) -> f64 {
        match self {
            ServerSelection::AllServers => 1.0,
            ServerSelection::Subset(subset) => (warm / count_as_f64(subset.size(ready))).max(1.0),
        }
    }
}

/// Selects servers at one moment.
pub(crate) struct Selector<'a> {
    context: Context<'a>,
    selection: &'a ServerSelection,
    servers: &'a ServerTable,
    estimates: LatencyEstimates<'a>,
}

impl<'a> Selector<'a> {
    /// A selector for the servers as they are now.
    pub(crate) fn new(
        context: Context<'a>,
        selection: &'a ServerSelection,
        servers: &'a ServerTable,
    ) -> Self {
        Selector {
            context,
            selection,
            servers,
            estimates: LatencyEstimates::new(context, selection.latency_decay()),
        }
    }

    /// All ready servers with capacity: the candidates where all servers are scanned.
    pub(crate) fn servers_with_capacity(&self) -> Vec<ServerId> {
        let mut candidates = Vec::new();
        for server in self.servers.iter_ready() {
            if self.has_capacity(server) {
                candidates.push(server.id());
            }
        }
        candidates
    }

    /// The subset to sample candidates from; `None` while so few servers are ready that all are
    /// scanned.
    pub(crate) fn sampled_subset(&self) -> Option<&'a Subset> {
        match self.selection {
            ServerSelection::Subset(subset) if !self.servers.scans_all() => Some(subset),
            ServerSelection::Subset(_) | ServerSelection::AllServers => None,
        }
    }

    /// Whether a request has to stay in a scope smaller than the fleet, as it may have been
    /// executed there. Then a sample of all servers may hold none that it may be sent to.
    pub(crate) fn is_bound_to_scope(&self, request: &Request) -> bool {
        required_scope(self.context.deployment, request)
            .is_some_and(|scope| scope != DeduplicationScope::AllServers)
    }

    /// The server for a request, of those that were found to have capacity.
    pub(crate) fn choose(
        &self,
        request: &Request,
        candidates: &[ServerId],
        random: &mut fastrand::Rng,
    ) -> Option<ServerId> {
        let choice = Choice::new(self, request, candidates);
        let eligible: Vec<&Server> = candidates
            .iter()
            .filter_map(|id| self.servers.get(id))
            .filter(|server| self.may_receive(&choice, server))
            .collect();
        match self.selection {
            ServerSelection::AllServers => all_servers::choose(self, &choice, &eligible, random),
            ServerSelection::Subset(design) => design.choose(self, &choice, eligible, random),
        }
    }
}
