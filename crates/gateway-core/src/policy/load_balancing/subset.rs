//! Server selection in a large fleet: each gateway uses a subset of the servers and chooses among
//! them at random, servers of lower cost more often.
//!
//! A gateway that seldom uses a server pays a handshake for each request to it, and holds an idle
//! connection in between. The subset is a run of neighbours on a hash ring that is the same at
//! every gateway.

use super::cost::{lowest_cost_server, PROBE_COST};
use super::eligibility::Choice;
use super::{Selector, MIN_WARM_UP_FRACTION};
use crate::policy::retry::required_scope;
use crate::settings::{DeduplicationScope, Settings};
use crate::state::request::Request;
use crate::state::servers::{Candidate, CandidateQuery, LatencyDecay, Server};
use crate::statistics::{count_as_f64, round_up_to_count};
use crate::types::{CellId, GatewayId, ServerId};

/// Number of ready servers up to which all are scanned; beyond it, each choice considers a sample.
pub(super) const FULL_SCAN_LIMIT: usize = 200;
/// Decay of latency estimates. The estimates last longer than in a small fleet, because a gateway
/// seldom uses each server. Reported loads are used as well: latency shows a queue only once a
/// request has waited in it, and by then hundreds of gateways have sent more requests.
pub(super) const LATENCY_DECAY: LatencyDecay = LatencyDecay {
    latency_half_life_us: 5e6,
    load_half_life_us: Some(1.5e6),
    min_warm_up_fraction: MIN_WARM_UP_FRACTION,
};
/// Minimum number of servers that a gateway uses, and of gateways that use each server.
const SUBSET_SIZE: f64 = 7.0;
/// Maximum number of servers that are visited for a sample.
const MAX_VISITED: usize = 200;
/// Maximum number of servers in a sample, not counting those whose probe is due.
const SAMPLE_SIZE: usize = 10;
/// Lower bound of a random draw whose logarithm is taken.
const MIN_DRAW: f64 = 1e-9;
/// Fraction of unreachable attempts in the cost of a server: in a large fleet, the cost does not
/// depend on the reachability of zones.
const UNREACHABLE_FRACTION: f64 = 0.0;

/// Subset of the servers that a gateway uses.
#[derive(Clone, Copy)]
pub(crate) struct Subset {
    /// Gateway that uses the subset, which begins at the gateway's position on the hash ring.
    gateway: GatewayId,
    gateway_count: u32,
}

impl Subset {
    /// Creates the subset of the gateway that `settings` belong to.
    pub(super) fn new(settings: &Settings) -> Self {
        Subset {
            gateway: settings.gateway_id,
            gateway_count: settings.gateway_count,
        }
    }

    /// Returns how many of the `ready` servers this gateway uses: [`SUBSET_SIZE`], or more if the
    /// servers are so many that fewer than [`SUBSET_SIZE`] gateways would use each of them.
    pub(super) fn size(&self, ready: usize) -> usize {
        let per_gateway = SUBSET_SIZE * count_as_f64(ready) / f64::from(self.gateway_count);
        round_up_to_count(SUBSET_SIZE.max(per_gateway))
    }

    /// Returns candidates, which have capacity: first servers whose probe is due, then servers of
    /// this gateway's subset from a random position on, then servers beyond the subset if too few
    /// in it have capacity.
    ///
    /// `request` is given if it has to stay within a scope; only servers to which it may be sent
    /// are then returned.
    pub(crate) fn sample(
        &self,
        selector: &Selector<'_>,
        request: Option<&Request>,
        random: &mut fastrand::Rng,
    ) -> Vec<Candidate> {
        let ready = selector.servers.ready_count();
        let subset_size = self.size(ready).min(ready);
        let query = CandidateQuery {
            cell: request.and_then(|request| bound_cell(selector, request)),
            subset_position: selector.servers.ring_position(self.gateway),
            subset_size,
            subset_start: random.usize(0..subset_size.max(1)),
            max_visited: MAX_VISITED,
            max_found: SAMPLE_SIZE,
        };
        let is_candidate = |server: &Server| {
            request.is_none_or(|request| selector.may_send(request, server))
                && selector.has_capacity(server)
        };
        selector
            .servers
            .find_candidates(selector.context.now, &query, is_candidate)
    }

    /// Chooses one of the preferred servers at random, with a probability inversely proportional to
    /// the square of its cost: the server with the lowest of exponential draws, whose means are the
    /// squares of the costs.
    ///
    /// If all gateways chose the server of the lowest cost, hundreds of them would send attempts to
    /// the server that was last reported to be fast.
    pub(super) fn choose(
        &self,
        selector: &Selector<'_>,
        choice: &Choice<'_>,
        eligible: Vec<&Server>,
        random: &mut fastrand::Rng,
    ) -> Option<ServerId> {
        let preferred = self.preferred(selector, choice, eligible, random);
        lowest_cost_server(&preferred, |server| {
            let draw = random.f64();
            if is_probe(choice, server) {
                return PROBE_COST;
            }
            let cost = selector.cost(choice.request, server, UNREACHABLE_FRACTION);
            let exponential = -draw.max(MIN_DRAW).ln() * cost;
            cost * exponential
        })
    }

    /// Returns the preferred servers among the eligible ones: a server whose probe is due,
    /// otherwise a server that is warming up, because its slow-start credit is rare, otherwise this
    /// gateway's subset. In the subset, the next servers on the ring replace those that are ejected
    /// or have no capacity.
    fn preferred<'s>(
        &self,
        selector: &Selector<'_>,
        choice: &Choice<'_>,
        eligible: Vec<&'s Server>,
        random: &mut fastrand::Rng,
    ) -> Vec<&'s Server> {
        let mut preferred = match eligible.iter().find(|server| is_probe(choice, server)) {
            Some(probe) => vec![*probe],
            None if selector.servers.scans_all() => self.first_on_ring(selector, &eligible),
            None => eligible, // sampled from the subset
        };
        random.shuffle(&mut preferred);
        match preferred
            .iter()
            .find(|server| !selector.estimates.is_warm(server))
        {
            Some(warming_up) => vec![*warming_up],
            None => preferred,
        }
    }

    /// Returns the first eligible servers on the ring from this gateway's position on, as many as
    /// its subset has.
    fn first_on_ring<'s>(
        &self,
        selector: &Selector<'_>,
        eligible: &[&'s Server],
    ) -> Vec<&'s Server> {
        let servers = selector.servers;
        let position = servers.ring_position(self.gateway);
        servers.first_on_ring(position, eligible, self.size(servers.ready_count()))
    }
}

/// Returns whether sending a request to a server would be a probe. Only a first attempt probes,
/// because a probe may fail, and no attempt probes while ejection is ignored.
fn is_probe(choice: &Choice<'_>, server: &Server) -> bool {
    !choice.request.was_sent() && !choice.ignores_ejection && choice.is_ejected(server)
}

/// Returns the cell in which a request has to stay because it may have been executed there and is
/// deduplicated within a cell.
fn bound_cell(selector: &Selector<'_>, request: &Request) -> Option<CellId> {
    let is_bound =
        required_scope(selector.context.deployment, request) == Some(DeduplicationScope::Cell);
    request
        .possible_execution()
        .filter(|_| is_bound)
        .map(|executed| executed.endpoint.cell)
}
