//! Expected latencies of servers at one moment, from observed latencies and reported loads, both
//! decayed towards the estimates of the fleet.

use super::fleet_estimates::FleetEstimates;
use super::server::Server;
use super::server_table::ServerTable;
use crate::settings::ServerRules;
use crate::state::deployment::Context;
use crate::statistics::count_as_f64;
use crate::time::Timestamp;

/// Minimum latency in µs used to calculate a concurrency.
const MIN_LATENCY_US: f64 = 1.0;
/// Minimum load factor used to calculate a latency.
const MIN_LOAD_FACTOR: f64 = 1.0;

/// How observations of servers decay. The half-lives are floating-point numbers because each
/// selection of a server calculates with them for every server considered.
#[derive(Clone, Copy)]
pub(crate) struct LatencyDecay {
    /// Time in µs in which an observed latency decays halfway to that of the fleet.
    pub(crate) latency_half_life_us: f64,
    /// Time in µs in which a reported load factor decays halfway to that of the fleet; `None` if
    /// reported loads are not used.
    pub(crate) load_half_life_us: Option<f64>,
    /// Minimum warm-up fraction by which the latency of an unknown server is divided.
    pub(crate) min_warm_up_fraction: f64,
}

/// Expected latencies of servers at one moment.
pub(crate) struct LatencyEstimates<'a> {
    now: Timestamp,
    rules: &'a ServerRules,
    fleet: &'a FleetEstimates,
    decay: LatencyDecay,
}

impl<'a> LatencyEstimates<'a> {
    /// Creates the estimates for the time of a context.
    pub(crate) fn new(context: Context<'a>, decay: &LatencyDecay) -> Self {
        LatencyEstimates {
            now: context.now,
            rules: &context.deployment.settings.rules,
            fleet: context.fleet,
            decay: *decay,
        }
    }

    /// Returns the expected latency per concurrent request at a server, in µs: the larger of the
    /// observed latency and the latency predicted from the reported load. A server without an
    /// observed latency is assumed to have the median latency divided by its warm-up fraction.
    #[inline] // called for every server considered at each selection
    pub(crate) fn expected_latency_us(&self, server: &Server) -> f64 {
        let median_us = self.fleet.median_latency_us();
        let half_life_us = self.decay.latency_half_life_us;
        match server.decayed_latency_us(self.now, median_us, half_life_us) {
            Some(latency_us) => latency_us.max(self.latency_by_load_us(server).unwrap_or(0.0)),
            None => {
                let fraction = server.warm_up_fraction(self.rules, self.now);
                median_us / fraction.max(self.decay.min_warm_up_fraction)
            }
        }
    }

    /// Returns the latency in µs predicted from a server's reported load; `None` if no load is
    /// known or reported loads are not used.
    fn latency_by_load_us(&self, server: &Server) -> Option<f64> {
        let half_life_us = self.decay.load_half_life_us?;
        let fleet_load_factor = self.fleet.load_factor()?;
        let load_factor = server.decayed_load_factor(self.now, fleet_load_factor, half_life_us)?;
        Some(self.fleet.service_time_us() * load_factor.max(MIN_LOAD_FACTOR))
    }

    /// Returns the fleet concurrency: how many attempts the ready servers together finish within
    /// `period_us` µs. Servers that are not tracked are assumed to have the median latency.
    pub(crate) fn fleet_concurrency(&self, servers: &ServerTable, period_us: f64) -> f64 {
        let mut tracked = 0;
        let concurrency = |server| period_us / self.expected_latency_us(server).max(MIN_LATENCY_US);
        let sum: f64 = servers
            .iter_ready()
            .inspect(|_| tracked += 1)
            .map(concurrency)
            .sum();
        let untracked = count_as_f64(servers.ready_count() - tracked);
        let median_us = self.fleet.median_latency_us();
        sum + untracked * (period_us / median_us.max(MIN_LATENCY_US))
    }

    /// Returns whether a server has completed its warm-up.
    pub(crate) fn is_warm(&self, server: &Server) -> bool {
        server.is_warm(self.rules, self.now)
    }
}
