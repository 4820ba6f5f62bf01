//! Load-balancing cost of a server for a request.

use super::Selector;
use crate::state::request::Request;
use crate::state::servers::Server;
use crate::types::ServerId;

/// In-flight slots added for a server in another zone, per 1.0 of the cross-zone cost.
const CROSS_ZONE_PENALTY_SLOTS: f64 = 30.0;
/// In-flight slots added for the server of the previous attempt.
const SAME_SERVER_PENALTY_SLOTS: f64 = 4.0;
/// Amount added to a server's penalty factor at a failure rate of 1. Without this penalty, a server
/// that fails fast would look fast.
const FAILURE_PENALTY: f64 = 4.0;
/// Amount added to a server's penalty factor if no attempt reaches its zone.
const UNREACHABLE_ZONE_PENALTY: f64 = 20.0;
/// Cost of a server whose probe is due: lower than any other, so that the probe is sent.
pub(super) const PROBE_COST: f64 = 0.0;

impl Selector<'_> {
    /// Returns the load-balancing cost of a server for a request, in µs:
    ///
    /// ```text
    /// cost = slots * latency * penalty_factor
    /// slots = in_flight + 1
    ///     + CROSS_ZONE_PENALTY_SLOTS * cross_zone_cost
    ///     + SAME_SERVER_PENALTY_SLOTS
    /// penalty_factor = 1
    ///     + FAILURE_PENALTY * failure_rate
    ///     + UNREACHABLE_ZONE_PENALTY * unreachable_fraction
    /// ```
    ///
    /// `latency` is the expected latency per concurrent request in µs. The cross-zone term applies
    /// only to a server in another zone, the same-server term only to the server of the previous
    /// attempt. `unreachable_fraction` is the fraction of the attempts into the server's zone that
    /// could not connect.
    pub(super) fn cost(
        &self,
        request: &Request,
        server: &Server,
        unreachable_fraction: f64,
    ) -> f64 {
        let slots = f64::from(server.in_flight())
            + 1.0
            + CROSS_ZONE_PENALTY_SLOTS * self.cross_zone_cost(server)
            + same_server_penalty_slots(request, server);
        let failure_penalty = server.class_health(request.class()).failure_rate() * FAILURE_PENALTY;
        let penalty_factor =
            1.0 + failure_penalty + unreachable_fraction * UNREACHABLE_ZONE_PENALTY;
        slots * self.estimates.expected_latency_us(server) * penalty_factor
    }

    /// Returns the cross-zone cost of a server; 0 in the gateway's own zone.
    fn cross_zone_cost(&self, server: &Server) -> f64 {
        let settings = &self.context.deployment.settings;
        if server.endpoint().zone == settings.zone {
            0.0
        } else {
            settings.cross_zone_cost
        }
    }
}

/// Returns the slots added for a server because the request's previous attempt was sent to it.
fn same_server_penalty_slots(request: &Request, server: &Server) -> f64 {
    if request.last_server() == Some(server.id()) {
        SAME_SERVER_PENALTY_SLOTS
    } else {
        0.0
    }
}

/// Returns the first of the servers with the lowest cost. `cost` is called once for each server, in
/// the order of `servers`, because it may draw random numbers.
pub(super) fn lowest_cost_server(
    servers: &[&Server],
    mut cost: impl FnMut(&Server) -> f64,
) -> Option<ServerId> {
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
