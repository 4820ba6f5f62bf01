//! The control tick: adjusts the in-flight limit, updates the estimates of the fleet, grants
//! slow-start credit to servers in warm-up, and evicts idle customers and servers.

use super::Gateway;
use crate::policy::quota_sharing::customer_limit;
use crate::time::Timestamp;
use crate::Action;

impl Gateway {
    /// Runs a control tick if one is due.
    pub(super) fn on_control_tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.timers.start_control_tick(now) {
            return;
        }
        let warning = self.control_loop.tick(
            now,
            &self.deployment,
            &mut self.requests,
            &self.attempts,
            self.servers.estimates_mut(),
        );
        actions.extend(warning.map(Action::Warn));
        self.servers.update_estimates(now);
        self.servers
            .grant_slow_start_credit(now, &self.deployment, &mut self.random);
        self.evict_idle(now);
    }

    /// Evicts idle customers and servers. Otherwise memory would grow with every customer and
    /// server ever seen.
    fn evict_idle(&mut self, now: Timestamp) {
        let plans = &self.deployment.settings.plans;
        customer_limit::evict_idle(&mut self.quotas, now, plans);
        self.servers.evict_idle(now);
    }
}
