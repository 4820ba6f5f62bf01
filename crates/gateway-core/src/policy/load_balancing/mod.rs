//! Load balancing: which server a request is sent to.
//!
//! The rules, in the order in which they apply:
//!
//! 1. [`Selector::is_fleet_full`]: while all servers together have enough in flight, nothing is sent.
//! 2. [`Selector::has_capacity`]: which servers may be chosen from at all.
//! 3. Candidates: all servers with capacity ([`Selector::all_with_capacity`]), or, in a large fleet with many
//!    servers, a sample of them ([`Subset::sample`]).
//! 4. [`Selector::may_receive`]: which candidates may receive this request, by ejection and deduplication scope.
//! 5. The choice among these by [`Selector::cost`]: in a small fleet [`all_servers::choose`], in a large one
//!    [`Subset::choose`].

mod all_servers;
mod subset;

use super::retry::{bound_scope, may_send};
use crate::settings::{DeduplicationScope, Idempotency, Settings};
use crate::state::deployment::{Context, Deployment, FleetMode};
use crate::state::request::Request;
use crate::state::servers::Server;
use crate::state::servers::ServerTable;
use crate::state::servers::{LatencyDecay, LatencyEstimates};
use crate::statistics::count_as_f64;
use crate::types::{ClassId, ServerId};

pub(crate) use subset::{Subset, SAMPLE_SIZE};

/// Expected latency per concurrent request before anything was observed, as a fraction of the shortest latency
/// objective.
pub(crate) const INITIAL_LATENCY_FRACTION: f64 = 0.12;
/// Fraction of the shortest latency objective that the expected latency at a server may reach. Queues beyond
/// that build up faster than they drain.
const MAX_SERVER_LATENCY_FRACTION: f64 = 0.3;
/// Fraction of the fleet's concurrency that this gateway may have in flight.
const MAX_FLEET_CONCURRENCY_FRACTION: f64 = 0.25;
/// Attempts that all gateways together may always have in flight at each server.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 4.0;
/// In-flight slots that a server in another zone counts as taken, for each 1.0 of the cross-zone cost.
const CROSS_ZONE_PENALTY_SLOTS: f64 = 30.0;
/// In-flight slots that the server of the previous attempt counts as taken.
const SAME_SERVER_PENALTY_SLOTS: f64 = 4.0;
/// Penalty added to a server's cost factor at a failure rate of 1: failing fast is not being fast.
const FAILURE_PENALTY: f64 = 4.0;
/// Penalty added to a server's cost factor where no attempt reaches its zone.
const UNREACHABLE_ZONE_PENALTY: f64 = 20.0;
/// Cost of a server whose probe is due: lower than any other, so that the probe is sent.
const PROBE_COST: f64 = 0.0;
/// Fraction of the ready servers that must not be ejected; with fewer, ejection is ignored.
const MIN_HEALTHY_FRACTION: f64 = 0.5;

/// The design by which servers are selected, which follows from the mode of the fleet and never changes.
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

    /// The fleet's servers divided by those that each gateway uses, of `ready` servers; `warm` of them count.
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
    deployment: &'a Deployment,
    selection: &'a ServerSelection,
    servers: &'a ServerTable,
    estimates: LatencyEstimates<'a>,
}

/// What applies to all candidates of one choice.
struct Choice<'a> {
    request: &'a Request,
    /// Whether ejected servers may be chosen like others.
    ignores_ejection: bool,
    has_alternatives: bool,
}

impl<'a> Selector<'a> {
    pub(crate) fn new(
        context: Context<'a>,
        selection: &'a ServerSelection,
        servers: &'a ServerTable,
    ) -> Self {
        Selector {
            context,
            deployment: context.deployment,
            selection,
            servers,
            estimates: LatencyEstimates::new(context, selection.latency_decay()),
        }
    }

    /// Fleet concurrency: attempts that all servers together finish within the shortest latency objective.
    pub(crate) fn fleet_concurrency(&self) -> f64 {
        self.estimates
            .fleet_concurrency(self.servers, self.deployment.shortest_objective)
    }

    /// Whether this gateway has enough attempts in flight at all servers together.
    ///
    /// It is full once `in_flight` reaches both a fixed number, the gateway's part of
    /// [`MIN_IN_FLIGHT_PER_SERVER`] at each ready server and 1 at least, and
    /// [`MAX_FLEET_CONCURRENCY_FRACTION`] of the fleet's concurrency. Without this limit many gateways, each
    /// with one attempt at every server, would overload them all. `fleet_concurrency` is called only if needed,
    /// as it scans the servers.
    pub(crate) fn is_fleet_full(
        &self,
        in_flight: f64,
        fleet_concurrency: impl FnOnce() -> f64,
    ) -> bool {
        let ready = count_as_f64(self.servers.ready_count());
        let gateways = f64::from(self.deployment.settings.gateway_count);
        let always_allowed = (MIN_IN_FLIGHT_PER_SERVER * ready / gateways).max(1.0);
        in_flight >= always_allowed
            && in_flight >= MAX_FLEET_CONCURRENCY_FRACTION * fleet_concurrency()
    }

    /// Whether a server may be chosen for one more attempt.
    ///
    /// It must have slow-start credit while it warms up, must not be in connect backoff, and must have a free
    /// in-flight slot. A server without attempts in flight always has one, or a slow server would never be
    /// tried again.
    fn has_capacity(&self, server: &Server) -> bool {
        let lacks_credit = !self.estimates.is_warm(server) && !server.has_slow_start_credit();
        !lacks_credit
            && !server.is_in_connect_backoff(self.context.now)
            && (server.in_flight() == 0 || self.has_free_slot(server))
    }

    /// Whether the expected latency with one more attempt in flight is within
    /// [`MAX_SERVER_LATENCY_FRACTION`] of the shortest latency objective.
    fn has_free_slot(&self, server: &Server) -> bool {
        let latency_us =
            self.estimates.expected_latency_us(server) * f64::from(server.in_flight() + 1);
        latency_us <= MAX_SERVER_LATENCY_FRACTION * self.deployment.shortest_objective
    }

    /// All ready servers with capacity: the candidates where all servers are scanned.
    pub(crate) fn all_with_capacity(&self) -> Vec<ServerId> {
        self.servers
            .iter_ready()
            .filter(|server| self.has_capacity(server))
            .map(Server::id)
            .collect()
    }

    /// The subset to sample candidates from; `None` while so few servers are ready that all are scanned.
    pub(crate) fn sampled_subset(&self) -> Option<&'a Subset> {
        match self.selection {
            ServerSelection::Subset(subset) if !self.servers.scans_all() => Some(subset),
            ServerSelection::Subset(_) | ServerSelection::AllServers => None,
        }
    }

    /// Whether a request has to stay in a scope smaller than the fleet, as it may have been executed there.
    /// Then a sample of all servers may hold none that it may be sent to.
    pub(crate) fn is_bound_to_scope(&self, request: &Request) -> bool {
        bound_scope(self.deployment, request)
            .is_some_and(|scope| scope != DeduplicationScope::AllServers)
    }

    /// The server for a request, of those that were found to have capacity.
    pub(crate) fn choose(
        &self,
        request: &Request,
        candidates: &[ServerId],
        random: &mut fastrand::Rng,
    ) -> Option<ServerId> {
        let choice = Choice {
            request,
            ignores_ejection: self.ignores_ejection(request.class),
            has_alternatives: candidates.len() > 1,
        };
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

    /// Whether fewer than [`MIN_HEALTHY_FRACTION`] of the ready servers are not ejected for a class. Then the
    /// fault lies elsewhere, and ejecting more would overload the remaining ones.
    fn ignores_ejection(&self, class: ClassId) -> bool {
        let healthy = count_as_f64(self.servers.healthy_count(class));
        healthy < count_as_f64(self.servers.ready_count()) * MIN_HEALTHY_FRACTION
    }

    /// Whether a server may receive a request: it is not ejected or its probe is due, the probe is no risk for
    /// the request, and the request may be sent there without being executed twice.
    fn may_receive(&self, choice: &Choice<'_>, server: &Server) -> bool {
        (choice.ignores_ejection || self.is_available(choice, server))
            && !self.is_risky_probe(choice, server)
            && self.may_send(choice.request, server)
    }

    /// Whether a server is not ejected for the request's class, or its probe is due: nothing is in flight there
    /// and the time of the probe has come.
    fn is_available(&self, choice: &Choice<'_>, server: &Server) -> bool {
        let probe_at = server.class_health(choice.request.class).next_probe_at();
        probe_at.is_none_or(|at| at <= self.context.now && server.in_flight() == 0)
    }

    /// Whether sending a request to an ejected server risks its only execution: a probe may be lost, so it takes
    /// an idempotent request unless there is no other server.
    fn is_risky_probe(&self, choice: &Choice<'_>, server: &Server) -> bool {
        let is_idempotent =
            self.deployment.class_of(choice.request).idempotency == Idempotency::Idempotent;
        is_ejected(choice, server) && !is_idempotent && choice.has_alternatives
    }

    /// Whether a request may be sent to a server without being executed twice.
    fn may_send(&self, request: &Request, server: &Server) -> bool {
        may_send(
            self.deployment,
            request,
            self.context.now,
            server.endpoint(),
        )
    }

    /// Load-balancing cost of a server for a request, in µs:
    ///
    /// ```text
    /// cost = slots * latency * penalties
    /// slots = in_flight + 1 + CROSS_ZONE_PENALTY_SLOTS * cross_zone_cost + SAME_SERVER_PENALTY_SLOTS
    /// penalties = 1 + failure_rate * FAILURE_PENALTY + unreachable_fraction * UNREACHABLE_ZONE_PENALTY
    /// ```
    ///
    /// `latency` is the expected latency per concurrent request in µs. The cross-zone term counts only in
    /// another zone, the same-server term only at the server of the previous attempt. `unreachable_fraction`:
    /// fraction of the attempts into the server's zone that found no connection.
    fn cost(&self, request: &Request, server: &Server, unreachable_fraction: f64) -> f64 {
        let slots = f64::from(server.in_flight())
            + 1.0
            + CROSS_ZONE_PENALTY_SLOTS * self.cross_zone_cost(server)
            + same_server_penalty_slots(request, server);
        let failing = server.class_health(request.class).failure_rate() * FAILURE_PENALTY;
        let penalties = 1.0 + failing + unreachable_fraction * UNREACHABLE_ZONE_PENALTY;
        slots * self.estimates.expected_latency_us(server) * penalties
    }

    /// What crossing to the server's zone costs; 0 in the gateway's own zone.
    fn cross_zone_cost(&self, server: &Server) -> f64 {
        let settings = &self.deployment.settings;
        if server.endpoint().zone == settings.zone {
            0.0
        } else {
            settings.cross_zone_cost
        }
    }
}

/// Slots that a server counts as taken because the previous attempt of the request went there.
fn same_server_penalty_slots(request: &Request, server: &Server) -> f64 {
    if request.last_server == Some(server.id()) {
        SAME_SERVER_PENALTY_SLOTS
    } else {
        0.0
    }
}

/// Whether a server is ejected for the class of the request.
fn is_ejected(choice: &Choice<'_>, server: &Server) -> bool {
    server.class_health(choice.request.class).is_ejected()
}

/// The first server of the lowest cost. `cost` is called once for each, in their order.
fn lowest_cost(servers: &[&Server], mut cost: impl FnMut(&Server) -> f64) -> Option<ServerId> {
    let mut lowest_cost = f64::INFINITY;
    let mut best = None;
    for server in servers {
        let server_cost = cost(server);
        if server_cost < lowest_cost {
            lowest_cost = server_cost;
            best = Some(server.id());
        }
    }
    best
}
