//! Load balancing: which server a request is sent to.
//!
//! The rules, in the order in which they apply:
//!
//! 1. [`Selector::is_fleet_full`]: nothing is sent while this gateway has as many attempts in
//!    flight at all servers together as it may have.
//! 2. [`Selector::has_capacity`]: only servers with capacity are considered.
//! 3. Candidates: all servers with capacity ([`Selector::servers_with_capacity`]), or, in a large
//!    fleet with many servers, a sample of them ([`Subset::sample`]).
//! 4. [`Selector::may_receive`]: which candidates may receive the request, according to ejection
//!    and the deduplication scope.
//! 5. The choice among these candidates by [`Selector::cost`]: in a small fleet
//!    [`all_servers::choose`], in a large one [`Subset::choose`].

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

/// Lower bound of the warm-up fraction by which the expected latency of an unknown server is
/// divided.
const MIN_WARM_UP_FRACTION: f64 = 0.1;

/// Method of server selection, which follows from the fleet mode and never changes.
#[derive(Clone, Copy)]
pub(crate) enum ServerSelection {
    /// Small fleet: every choice scans all servers.
    AllServers,
    /// Large fleet: each gateway uses a subset of the servers.
    Subset(Subset),
}

impl ServerSelection {
    /// Creates the method for a fleet of this mode.
    pub(crate) fn new(settings: &Settings, mode: FleetMode) -> Self {
        match mode {
            FleetMode::Gossip => ServerSelection::AllServers,
            FleetMode::Leases => ServerSelection::Subset(Subset::new(settings)),
        }
    }

    /// Returns the number of ready servers up to which all are scanned.
    pub(crate) fn full_scan_limit(&self) -> usize {
        match self {
            ServerSelection::AllServers => all_servers::FULL_SCAN_LIMIT,
            ServerSelection::Subset(_) => subset::FULL_SCAN_LIMIT,
        }
    }

    /// Returns how observations of servers decay with time.
    pub(crate) fn latency_decay(&self) -> &'static LatencyDecay {
        match self {
            ServerSelection::AllServers => &all_servers::LATENCY_DECAY,
            ServerSelection::Subset(_) => &subset::LATENCY_DECAY,
        }
    }

    /// Returns the ratio of the `warm` servers to the size of this gateway's subset of the `ready`
    /// servers, at least 1. Returns 1 in a small fleet, where every gateway uses all servers.
    pub(super) fn warm_to_subset_ratio(&self, warm: f64, ready: usize) -> f64 {
        match self {
            ServerSelection::AllServers => 1.0,
            ServerSelection::Subset(subset) => (warm / count_as_f64(subset.size(ready))).max(1.0),
        }
    }
}

/// Server selection at one point in time.
pub(crate) struct Selector<'a> {
    context: Context<'a>,
    selection: &'a ServerSelection,
    servers: &'a ServerTable,
    estimates: LatencyEstimates<'a>,
}

impl<'a> Selector<'a> {
    /// Creates a selector for the current state of the servers.
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

    /// Returns all ready servers with capacity, which are the candidates if all servers are
    /// scanned.
    pub(crate) fn servers_with_capacity(&self) -> Vec<ServerId> {
        let mut candidates = Vec::new();
        for server in self.servers.iter_ready() {
            if self.has_capacity(server) {
                candidates.push(server.id());
            }
        }
        candidates
    }

    /// Returns the subset from which candidates are sampled; `None` if all servers are scanned, as
    /// in a small fleet or with few ready servers.
    pub(crate) fn sampled_subset(&self) -> Option<&'a Subset> {
        match self.selection {
            ServerSelection::Subset(subset) if !self.servers.scans_all() => Some(subset),
            ServerSelection::Subset(_) | ServerSelection::AllServers => None,
        }
    }

    /// Returns whether a request has to stay within a scope smaller than the fleet because it may
    /// have been executed there. A sample of all servers may then hold none to which the request
    /// may be sent.
    pub(crate) fn is_bound_to_scope(&self, request: &Request) -> bool {
        required_scope(self.context.deployment, request)
            .is_some_and(|scope| scope != DeduplicationScope::AllServers)
    }

    /// Chooses a server for a request among `candidates`, which were found to have capacity; `None`
    /// if none of them is eligible.
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
            ServerSelection::Subset(subset) => subset.choose(self, &choice, eligible, random),
        }
    }
}
