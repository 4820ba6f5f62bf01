//! Estimates of servers at one moment: expected waits, as observed and as reported, faded to the fleet's.

use super::fleet_estimates::FleetEstimates;
use super::server::Server;
use super::server_table::ServerTable;
use crate::settings::Rules;
use crate::time::Timestamp;

/// How observations of servers fade.
#[derive(Clone, Copy)]
pub(crate) struct Fading {
    /// µs in which an observed wait fades halfway to the fleet's.
    pub(crate) wait_half_life: f64,
    /// µs in which a reported load does; `None` where reported loads do not count.
    pub(crate) load_half_life: Option<f64>,
    /// Least warm-up fraction that the wait of an unknown server is divided by.
    pub(crate) min_warm_up_fraction: f64,
}

/// Servers as they are at one moment.
pub(crate) struct ServerView<'a> {
    pub(crate) now: Timestamp,
    pub(crate) rules: &'a Rules,
    pub(crate) fleet: &'a FleetEstimates,
    pub(crate) fading: Fading,
}

impl ServerView<'_> {
    /// µs of wait for one place at a server.
    pub(crate) fn expected_wait(&self, server: &Server) -> f64 {
        let median = self.fleet.median_wait;
        match server.faded_wait(self.now, median, self.fading.wait_half_life) {
            Some(wait) => wait.max(self.wait_by_load(server).unwrap_or(0.0)),
            None => {
                let fraction = server.warm_up_fraction(self.rules, self.now);
                median / fraction.max(self.fading.min_warm_up_fraction)
            }
        }
    }

    /// The same by the load that the server reported.
    fn wait_by_load(&self, server: &Server) -> Option<f64> {
        let half_life = self.fading.load_half_life?;
        let load_factor = server.faded_load_factor(self.now, self.fleet.load_factor?, half_life)?;
        Some(self.fleet.service_time * load_factor.max(1.0))
    }

    /// Attempts that the ready servers finish within `objective` µs. Those that are not tracked count as the
    /// median one.
    pub(crate) fn capacity(&self, servers: &ServerTable, objective: f64) -> f64 {
        let mut walked = 0;
        let attempts_at = |server| objective / self.expected_wait(server).max(1.0);
        let sum: f64 = servers
            .iter_ready()
            .inspect(|_| walked += 1)
            .map(attempts_at)
            .sum();
        let others = (servers.ready_count() - walked) as f64;
        sum + others * (objective / self.fleet.median_wait.max(1.0))
    }

    pub(crate) fn is_warm(&self, server: &Server) -> bool {
        server.is_warm(self.rules, self.now)
    }
}

/// The attempts that all servers together finish in time, which are not summed anew for each request.
#[derive(Default)]
pub(crate) struct FleetCapacity {
    pub(crate) attempts: f64,
    pub(crate) valid_until: Timestamp,
}
