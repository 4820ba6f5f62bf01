//! Capacity: whether one more attempt may be sent to the fleet, and to a given server.

use super::Selector;
use crate::state::servers::Server;
use crate::statistics::count_as_f64;

/// Fraction of the shortest time that clients wait, which the expected latency at a server may reach.
/// Clients need the rest for a request that takes longer than others and for retries; what waits at
/// this gateway instead of at a server can still be sent to another server, or after a request of a
/// higher priority.
const MAX_SERVER_LATENCY_FRACTION: f64 = 0.075;
/// Fraction of the fleet concurrency that this gateway may have in flight.
const MAX_FLEET_CONCURRENCY_FRACTION: f64 = 0.0625;
/// Attempts that all gateways together may always have in flight at each server.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 4.0;

impl Selector<'_> {
    /// Returns the fleet concurrency: the number of attempts that all servers together finish
    /// within the shortest time that clients wait.
    pub(crate) fn fleet_concurrency(&self) -> f64 {
        self.estimates.fleet_concurrency(
            self.servers,
            self.context.deployment.shortest_client_wait_us,
        )
    }

    /// Returns whether this gateway has as many attempts in flight at all servers together as it
    /// may have.
    ///
    /// That is the case once `in_flight` reaches both this gateway's part of
    /// [`MIN_IN_FLIGHT_PER_SERVER`] at each ready server, which is at least 1, and
    /// [`MAX_FLEET_CONCURRENCY_FRACTION`] of the fleet concurrency. Without this limit, many
    /// gateways with one attempt at every server each would overload all servers.
    /// `fleet_concurrency` is called only if needed, because it scans the servers.
    pub(crate) fn is_fleet_full(
        &self,
        in_flight: f64,
        fleet_concurrency: impl FnOnce() -> f64,
    ) -> bool {
        let ready = count_as_f64(self.servers.ready_count());
        let gateways = f64::from(self.context.deployment.settings.gateway_count);
        let always_allowed = (MIN_IN_FLIGHT_PER_SERVER * ready / gateways).max(1.0);
        in_flight >= always_allowed
            && in_flight >= MAX_FLEET_CONCURRENCY_FRACTION * fleet_concurrency()
    }

    /// Returns whether a server may be chosen for one more attempt.
    ///
    /// A server that is warming up must have slow-start credit. The server must not be in connect
    /// backoff, and must have a free in-flight slot. A server without attempts in flight always has
    /// a free slot; otherwise a slow server would never be tried again.
    pub(super) fn has_capacity(&self, server: &Server) -> bool {
        let lacks_credit = !self.estimates.is_warm(server) && !server.has_slow_start_credit();
        !lacks_credit
            && !server.is_in_connect_backoff(self.context.now)
            && (server.in_flight() == 0 || self.has_free_slot(server))
    }

    /// Returns whether the expected latency with one more attempt in flight is within
    /// [`MAX_SERVER_LATENCY_FRACTION`] of the shortest time that clients wait.
    fn has_free_slot(&self, server: &Server) -> bool {
        let latency_us =
            self.estimates.expected_latency_us(server) * f64::from(server.in_flight() + 1);
        latency_us <= MAX_SERVER_LATENCY_FRACTION * self.context.deployment.shortest_client_wait_us
    }
}
