//! The control tick: the control loop moves the in-flight limit, the estimates of the fleet are
//! updated, servers that are warming up get their credit, and what has been idle is evicted.

use super::Gateway;
use crate::policy::fuzzy_controller::TICK_PERIOD;
use crate::policy::gossip::REPORT_LIFETIME;
use crate::policy::load_balancing::INITIAL_WAIT_SHARE;
use crate::policy::outlier_detection::MAX_SERVER_IDLE;
use crate::policy::quota::PARTITIONED;
use crate::policy::slow_start::SlowStart;
use crate::state::quota_state::silent_gateways;
use crate::state::server::Server;
use crate::statistics::{median, update_mean};
use crate::time::{DurationExt, Timestamp};
use crate::Action;

impl Gateway {
    /// Runs a control tick, if one is due.
    pub(super) fn on_control_tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.timers.start_control_tick(now) {
            return;
        }
        let warning = self.control_loop.tick(
            now,
            &self.deployment,
            &mut self.requests,
            &self.attempts,
            &mut self.fleet,
        );
        actions.extend(warning.map(Action::Warn));
        self.update_fleet_estimates(now);
        self.grant_slow_start_credit(now);
        self.evict_idle(now);
    }

    fn update_fleet_estimates(&mut self, now: Timestamp) {
        let parameters = self.deployment.mode.parameters();
        let rate = self.fleet.completed_since_tick / TICK_PERIOD.as_seconds();
        update_mean(
            &mut self.fleet.throughput,
            rate,
            parameters.throughput_weight,
        );
        self.fleet.completed_since_tick = 0.0;
        let waits = self.servers.sorted(Server::known_wait);
        let initial_wait = self.deployment.shortest_objective_us * INITIAL_WAIT_SHARE;
        self.fleet.median_wait = median(&waits, parameters.lesser_median).unwrap_or(initial_wait);
        let load_factors = self.servers.sorted(|server| {
            let is_recent = now <= server.load_reported_at + REPORT_LIFETIME;
            let load = server.reported_load.filter(|_| is_recent);
            load.map(|load| server.load_factor(load))
        });
        self.fleet.load_factor = median(&load_factors, parameters.lesser_median);
    }

    fn grant_slow_start_credit(&mut self, now: Timestamp) {
        let warm = self.warm_servers(now);
        let ready = self.servers.ready_count();
        let slow_start = SlowStart::new(self.context(now), warm, ready, TICK_PERIOD);
        let rules = &self.deployment.settings.rules;
        for server in self
            .servers
            .iter_tracked_mut()
            .filter(|server| !server.is_warm(rules, now))
        {
            let fraction = server.warm_up_fraction(rules, now);
            slow_start.grant(server, fraction, self.random.f64());
        }
    }

    fn warm_servers(&mut self, now: Timestamp) -> usize {
        if !self.servers.walks_all() {
            return self.servers.warm_count(now);
        }
        let rules = &self.deployment.settings.rules;
        self.servers
            .iter_ready()
            .filter(|server| server.is_warm(rules, now))
            .count()
    }

    /// Evicts idle customers and servers: otherwise memory would grow with every one ever seen.
    fn evict_idle(&mut self, now: Timestamp) {
        let plans = &self.deployment.settings.plans;
        let last_heard = &self.quotas.last_heard;
        let silent = |gateways| silent_gateways(last_heard, gateways, now, PARTITIONED);
        self.quotas
            .local
            .retain(|_, bucket| !bucket.is_idle(now, &plans[bucket.plan.0], silent));
        self.quotas
            .owned
            .retain(|_, bucket| !bucket.is_idle(now, &plans[bucket.plan.0], |_| 0.0));
        self.servers.evict_idle(now, MAX_SERVER_IDLE);
    }
}
