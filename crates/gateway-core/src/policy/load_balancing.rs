//! Load balancing: which servers may be chosen from, and which one a request goes to.

use super::retry::{may_send, required_scope};
use crate::settings::{DeduplicationScope, Idempotency, Settings};
use crate::state::deployment::{Context, Deployment, FleetMode};
use crate::state::request::Request;
use crate::state::server::Server;
use crate::state::server_table::{Candidate, CandidateQuery, ServerTable};
use crate::state::server_view::ServerView;
use crate::types::{CellId, ClassId, ServerId};

/// Wait that is expected before anything was observed, as a share of the shortest latency objective.
pub(crate) const INITIAL_WAIT_SHARE: f64 = 0.12;
/// Share of the shortest latency objective that the wait at a server may reach; more jams it (i6cccef).
const MAX_WAIT_SHARE: f64 = 0.3;
/// The same over all servers together.
const MAX_FLEET_WAIT_SHARE: f64 = 0.25;
/// Attempts that all gateways together may always have in flight at each server.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 4.0;
/// Servers that are looked at for a choice where not all are walked, and those of which one is chosen.
const MAX_VISITED: usize = 200;
pub(crate) const SAMPLE_SIZE: usize = 10;
/// Spread of the choice among equal servers, so that gateways do not move as one.
const JITTER: f64 = 0.1;
/// The least random number that a logarithm is taken of.
const MIN_DRAW: f64 = 1e-9;
/// Attempts in flight that a server in another zone counts for, for each 1.0 that crossing costs ...
const CROSS_ZONE_PENALTY: f64 = 30.0;
/// ... and those that the server tried last counts for.
const SAME_SERVER_PENALTY: f64 = 4.0;
/// Factors by which the wait counts more where all attempts fail (failing fast is not quick), or none reaches
/// the zone.
const FAILURE_PENALTY: f64 = 4.0;
const UNREACHABLE_ZONE_PENALTY: f64 = 20.0;
/// Share of the servers that must not be ejected; with fewer the fault lies elsewhere, and none counts as
/// ejected (iac7c0b: ejection feeds on itself).
const MIN_HEALTHY_SHARE: f64 = 0.5;

/// Servers that a gateway of a large fleet uses, and at the least gateways that use each server. A pair that
/// meets seldom costs a handshake each time, and holds a connection in between.
const SUBSET_SIZE: f64 = 7.0;

/// How many of the ready servers a gateway uses: more where these are many, so that each one is used.
pub(super) fn subset_size(settings: &Settings, ready: usize) -> usize {
    let per_gateway = SUBSET_SIZE * ready as f64 / f64::from(settings.gateway_count);
    SUBSET_SIZE.max(per_gateway).ceil() as usize
}

/// Chooses servers at one moment.
pub(crate) struct Balancer<'a> {
    context: Context<'a>,
    deployment: &'a Deployment,
    servers: &'a ServerTable,
    view: ServerView<'a>,
}

impl<'a> Balancer<'a> {
    pub(crate) fn new(context: Context<'a>, servers: &'a ServerTable) -> Self {
        let Context {
            now,
            deployment,
            fleet,
        } = context;
        let rules = &deployment.settings.rules;
        let fading = deployment.mode.parameters().fading;
        Balancer {
            context,
            deployment,
            servers,
            view: ServerView {
                now,
                rules,
                fleet,
                fading,
            },
        }
    }

    /// Attempts that all servers together finish within the shortest latency objective.
    pub(crate) fn fleet_capacity(&self) -> f64 {
        self.view
            .capacity(self.servers, self.deployment.shortest_objective)
    }

    /// Whether all servers together have enough in flight: many gateways, each with one attempt at every
    /// server, would overload them all (iac7c0b, i417db4). The fleet's capacity is asked for only if need be.
    pub(crate) fn is_full(&self, in_flight: f64, fleet_capacity: impl FnOnce() -> f64) -> bool {
        let ready = self.servers.ready_count() as f64;
        let own_share =
            MIN_IN_FLIGHT_PER_SERVER * ready / f64::from(self.deployment.settings.gateway_count);
        in_flight >= own_share.max(1.0) && in_flight >= MAX_FLEET_WAIT_SHARE * fleet_capacity()
    }

    /// Whether one more attempt at a server leaves time within the shortest latency objective.
    fn has_capacity(&self, server: &Server) -> bool {
        let must_warm_up = !self.view.is_warm(server) && server.slow_start_credit < 1.0;
        let backs_off = server.connect_backoff_until > self.context.now;
        let fits = || {
            let wait = self.view.expected_wait(server) * f64::from(server.in_flight + 1);
            wait <= MAX_WAIT_SHARE * self.deployment.shortest_objective
        };
        !must_warm_up && !backs_off && (server.in_flight == 0 || fits())
    }

    /// The ready servers with capacity, where all may be walked.
    pub(crate) fn all_with_capacity(&self) -> Vec<ServerId> {
        let with_capacity = self
            .servers
            .iter_ready()
            .filter(|server| self.has_capacity(server));
        with_capacity.map(|server| server.endpoint.server).collect()
    }

    /// Some servers with capacity: those whose probe is due, then this gateway's subset from a random place
    /// on, and servers beyond it where too few of it have capacity. For a request that has to stay in its
    /// scope, of these.
    pub(crate) fn sample(
        &self,
        request: Option<&Request>,
        random: &mut fastrand::Rng,
    ) -> Vec<Candidate> {
        let ready = self.servers.ready_count();
        let size = self.subset_size().min(ready);
        let query = CandidateQuery {
            cell: request.and_then(|request| self.bound_cell(request)),
            subset_position: self.position(),
            subset_size: size,
            subset_start: random.usize(0..size.max(1)),
            max_visited: MAX_VISITED,
            max_found: SAMPLE_SIZE,
        };
        let fits = |server: &Server| {
            request.is_none_or(|request| self.may_send(request, server))
                && self.has_capacity(server)
        };
        self.servers.find_candidates(self.context.now, &query, fits)
    }

    /// Whether a request needs a sample of its own, as it has to stay in its scope.
    pub(crate) fn needs_own_sample(&self, request: &Request) -> bool {
        let scope = required_scope(self.deployment, request);
        let is_bound = scope.is_some_and(|scope| scope != DeduplicationScope::AllServers);
        is_bound && !self.servers.walks_all()
    }

    /// Where this gateway's subset begins on the ring.
    fn position(&self) -> usize {
        self.servers
            .ring_position(self.deployment.settings.gateway_id)
    }

    fn subset_size(&self) -> usize {
        subset_size(&self.deployment.settings, self.servers.ready_count())
    }

    /// The cell that a request has to stay in.
    fn bound_cell(&self, request: &Request) -> Option<CellId> {
        let is_bound = required_scope(self.deployment, request) == Some(DeduplicationScope::Cell);
        request
            .possible_execution()
            .filter(|_| is_bound)
            .map(|executed| executed.endpoint.cell)
    }

    fn may_send(&self, request: &Request, server: &Server) -> bool {
        may_send(self.deployment, request, self.context.now, &server.endpoint)
    }

    /// Whether so few servers are healthy that none counts as ejected: ejecting all helps nobody.
    fn ignores_ejection(&self, class: ClassId) -> bool {
        let healthy = self.servers.healthy_count(class) as f64;
        healthy < self.servers.ready_count() as f64 * MIN_HEALTHY_SHARE
    }

    /// The server with the least cost of those selectable that may take the request.
    pub(crate) fn pick(
        &self,
        request: &Request,
        selectable: &[ServerId],
        random: &mut fastrand::Rng,
    ) -> Option<ServerId> {
        let class = request.class();
        let ignores_ejection = self.ignores_ejection(class);
        let is_only = selectable.len() <= 1;
        let known = selectable.iter().filter_map(|id| self.servers.get(id));
        let is_eligible =
            |server: &&Server| self.is_eligible(request, server, ignores_ejection, is_only);
        let mut eligible: Vec<&Server> = known.filter(is_eligible).collect();
        let large_fleet = self.deployment.mode == FleetMode::Leases;
        let may_probe = request.attempt_count() == 0 && !(ignores_ejection && large_fleet);
        let is_probe = |server: &Server| may_probe && server.health[class.0].is_ejected();
        if large_fleet {
            eligible = self.narrow(eligible, is_probe, random);
        }
        let mut least_cost = f64::INFINITY;
        let mut best = None;
        for server in eligible {
            let draw = random.f64();
            let cost = if is_probe(server) {
                0.0
            } else {
                self.drawn_cost(request, server, draw)
            };
            if cost < least_cost {
                least_cost = cost;
                best = Some(server.endpoint.server);
            }
        }
        best
    }

    /// Whether a server may take a request: it is not ejected, or its probe is due. A probe may be lost, so
    /// it takes only what can be repeated, unless there is no other server.
    fn is_eligible(
        &self,
        request: &Request,
        server: &Server,
        ignores_ejection: bool,
        is_only: bool,
    ) -> bool {
        let probe_at = server.health[request.class().0].next_probe_at;
        let is_due = probe_at.is_none_or(|at| at <= self.context.now && server.in_flight == 0);
        let is_idempotent =
            self.deployment.class_of(request).idempotency == Idempotency::Idempotent;
        let is_risky = probe_at.is_some() && !is_idempotent && !is_only;
        (is_due || ignores_ejection) && !is_risky && self.may_send(request, server)
    }

    /// In a large fleet a probe comes first, then a server that warms up, as its credit is rare, then this
    /// gateway's subset, in which the next on the ring takes the place of one that is ejected or full.
    fn narrow(
        &self,
        eligible: Vec<&'a Server>,
        is_probe: impl Fn(&Server) -> bool,
        random: &mut fastrand::Rng,
    ) -> Vec<&'a Server> {
        let mut narrowed = match eligible.iter().find(|server| is_probe(server)) {
            Some(probe) => vec![*probe],
            None if self.servers.walks_all() => {
                self.servers
                    .first_on_ring(self.position(), &eligible, self.subset_size())
            }
            None => eligible, // sampled from the subset
        };
        random.shuffle(&mut narrowed);
        match narrowed.iter().find(|server| !self.view.is_warm(server)) {
            Some(warming) => vec![*warming],
            None => narrowed,
        }
    }

    /// How bad a server is for a request: its expected wait times the places taken, with penalties.
    fn cost(&self, request: &Request, server: &Server) -> f64 {
        let settings = &self.deployment.settings;
        let is_local = server.endpoint.zone == settings.zone;
        let crossing = if is_local {
            0.0
        } else {
            settings.cross_zone_cost
        };
        let is_same = request.last_server() == Some(server.endpoint.server);
        let same = if is_same { SAME_SERVER_PENALTY } else { 0.0 };
        let places = f64::from(server.in_flight) + 1.0 + CROSS_ZONE_PENALTY * crossing + same;
        let unreachable = match self.deployment.mode {
            FleetMode::Gossip => self.context.fleet.unreachable_share(server.endpoint.zone),
            FleetMode::Leases => 0.0,
        };
        let failing = server.health[request.class().0].failure_rate * FAILURE_PENALTY;
        let penalties = 1.0 + failing + unreachable * UNREACHABLE_ZONE_PENALTY;
        places * self.view.expected_wait(server) * penalties
    }

    /// Where each gateway knows little, hundreds of them would flock to the server last heard to be quick:
    /// there a server's share is in inverse to the square of its cost, which the least of exponential draws
    /// gives.
    fn drawn_cost(&self, request: &Request, server: &Server, draw: f64) -> f64 {
        let cost = self.cost(request, server);
        let factor = match self.deployment.mode {
            FleetMode::Gossip => 1.0 + JITTER * draw,
            FleetMode::Leases => -draw.max(MIN_DRAW).ln() * cost,
        };
        cost * factor
    }
}
