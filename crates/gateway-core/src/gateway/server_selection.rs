//! The choice of a server for a request that may be sent.

use super::Gateway;
use crate::policy::load_balancing::Balancer;
use crate::state::deployment::Context;
use crate::state::server_view::FleetCapacity;
use crate::time::Timestamp;
use crate::types::{RequestId, ServerId};

impl Gateway {
    /// Servers that may be chosen from now: ready and with capacity. Of too many to be walked, a sample.
    pub(super) fn selectable_servers(&mut self, now: Timestamp) -> Vec<ServerId> {
        let context = Context::new(now, &self.deployment, &self.fleet);
        let balancer = Balancer::new(context, &self.servers);
        let valid_until = self.timers.next_control_tick();
        let capacity = &mut self.capacity;
        let fleet_capacity = || {
            // Where not all servers are walked it is summed anew once a control tick.
            if self.servers.walks_all() || now >= capacity.valid_until {
                *capacity = FleetCapacity {
                    attempts: balancer.fleet_capacity(),
                    valid_until,
                };
            }
            capacity.attempts
        };
        if balancer.is_full(self.attempts.count(), fleet_capacity) {
            return Vec::new();
        }
        if self.servers.walks_all() {
            return balancer.all_with_capacity();
        }
        self.sample_servers(now, None)
    }

    /// A sample of servers, which are tracked from now on; of those that a request may stay with, if one is
    /// named.
    pub(super) fn sample_servers(
        &mut self,
        now: Timestamp,
        only: Option<&RequestId>,
    ) -> Vec<ServerId> {
        let request = only.and_then(|id| self.requests.get(id));
        let context = Context::new(now, &self.deployment, &self.fleet);
        let found = Balancer::new(context, &self.servers).sample(request, &mut self.random);
        for candidate in found.iter().filter(|candidate| !candidate.tracked) {
            self.servers.track(now, &candidate.server);
        }
        found
            .into_iter()
            .map(|candidate| candidate.server)
            .collect()
    }

    pub(super) fn pick_server(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        selectable: &[ServerId],
    ) -> Option<ServerId> {
        let balancer = Balancer::new(self.context(now), &self.servers);
        let needs_own_sample = balancer.needs_own_sample(self.requests.get(id)?);
        let own_sample = needs_own_sample.then(|| self.sample_servers(now, Some(id)));
        let selectable = own_sample.as_deref().unwrap_or(selectable);
        let request = self.requests.get(id)?;
        let context = Context::new(now, &self.deployment, &self.fleet);
        Balancer::new(context, &self.servers).pick(request, selectable, &mut self.random)
    }
}
