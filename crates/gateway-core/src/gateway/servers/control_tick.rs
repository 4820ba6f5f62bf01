//! The servers' part of a control tick: updates the estimates of the fleet, grants slow-start
//! credit, and evicts idle servers.

use super::{initial_latency_us, Servers};
use crate::policy::fuzzy_controller::TICK_PERIOD;
use crate::policy::health_reports::REPORT_LIFETIME;
use crate::policy::outlier_detection::MAX_SERVER_IDLE;
use crate::policy::slow_start::SlowStart;
use crate::settings::ServerRules;
use crate::state::deployment::{Context, Deployment};
use crate::state::servers::Server;
use crate::time::Timestamp;

impl Servers {
    /// Updates the estimates of the fleet: the throughput of a gateway, and the latency and load
    /// factor of the median server.
    pub(in crate::gateway) fn update_estimates(&mut self, now: Timestamp) {
        let throughput_weight = self.estimation.own_throughput_weight();
        self.estimates
            .merge_own_throughput(TICK_PERIOD, throughput_weight);
        let latencies_us = self.table.sorted_values(Server::observed_latency_us);
        let median_us = self.estimation.median(&latencies_us);
        let load_factors = self.table.sorted_values(|server| {
            let load = server.recent_load(now, REPORT_LIFETIME);
            load.map(|load| server.load_factor(load))
        });
        let load_factor = self.estimation.median(&load_factors);
        self.estimates
            .set_medians(median_us.unwrap_or_else(initial_latency_us), load_factor);
    }

    /// Grants slow-start credit to the servers in warm-up.
    pub(in crate::gateway) fn grant_slow_start_credit(
        &mut self,
        now: Timestamp,
        deployment: &Deployment,
        random: &mut fastrand::Rng,
    ) {
        let rules = &deployment.settings.rules;
        let warm = self.warm_count(now, rules);
        let ready = self.table.ready_count();
        let context = Context::new(now, deployment, &self.estimates);
        let slow_start = SlowStart::new(context, &self.selection, warm, ready, TICK_PERIOD);
        for server in self.table.warming_up_mut(now, rules) {
            slow_start.grant(server.credit, server.warm_up_fraction, random.f64());
        }
    }

    /// Returns the number of ready servers that are warm.
    fn warm_count(&mut self, now: Timestamp, rules: &ServerRules) -> usize {
        if !self.table.scans_all() {
            return self.table.warm_count(now);
        }
        self.table
            .iter_ready()
            .filter(|server| server.is_warm(rules, now))
            .count()
    }

    /// Evicts servers that are gone, and the health of idle servers.
    pub(in crate::gateway) fn evict_idle(&mut self, now: Timestamp) {
        self.table.evict_idle(now, MAX_SERVER_IDLE);
    }
}
