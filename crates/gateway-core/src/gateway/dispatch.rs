//! Dispatch: sending queued requests to servers.

use super::Gateway;
use crate::policy::dispatch::{self, DispatchDecision, DispatchPass};
use crate::policy::retry;
use crate::state::attempt::AttemptKey;
use crate::state::deployment::Context;
use crate::time::Timestamp;
use crate::types::{RequestId, ServerId};
use crate::Action;

impl Gateway {
    /// Sends queued requests to servers, highest priority first, while servers have capacity.
    pub(super) fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.requests.is_queue_empty() {
            return;
        }
        let mut selectable = self.selectable_servers(now);
        if selectable.is_empty() {
            return; // sorting the queue at each event would exhaust the CPU in an overload
        }
        let lowest_class = self.deployment.lowest_class;
        let mut pass = DispatchPass::new(
            self.quota_sharing,
            lowest_class,
            self.attempts.count_of(lowest_class),
        );
        for id in dispatch::dispatch_order(&self.deployment, self.requests.queued()) {
            if selectable.is_empty() {
                break;
            }
            let Some(server) = self.server_for_queued(now, &id, &mut pass, &selectable) else {
                continue;
            };
            self.send_attempt(now, id, server, actions);
            selectable = if self.requests.is_queue_empty() {
                Vec::new()
            } else {
                self.selectable_servers(now)
            };
        }
    }

    /// Returns the server to send a queued request to now, or `None` if the request stays queued.
    fn server_for_queued(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        pass: &mut DispatchPass,
        selectable: &[ServerId],
    ) -> Option<ServerId> {
        let context = Context::new(now, &self.deployment, self.servers.estimates());
        let request = self.requests.get_mut(id)?;
        let class = request.class();
        let limit = self.control_loop.in_flight_limit();
        match pass.decide(context, request, limit, &mut self.quotas) {
            DispatchDecision::Send => {
                let server = self.pick_server(now, id, selectable)?;
                pass.record_attempt_sent(class, self.control_loop.in_flight_limit());
                Some(server)
            }
            DispatchDecision::SkipForQuota => {
                request.record_quota_delay(now);
                None
            }
            DispatchDecision::SkipForInFlightLimit => None,
        }
    }

    /// Returns the servers that an attempt may be sent to now.
    fn selectable_servers(&mut self, now: Timestamp) -> Vec<ServerId> {
        self.servers.selectable(
            now,
            &self.deployment,
            self.attempts.count(),
            self.timers.next_control_tick(),
            &mut self.random,
        )
    }

    /// Chooses a server for a request, usually one of `selectable`.
    fn pick_server(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        selectable: &[ServerId],
    ) -> Option<ServerId> {
        let request = self.requests.get(id)?;
        self.servers
            .choose(now, &self.deployment, request, selectable, &mut self.random)
    }

    /// Sends an attempt of a queued request to a server.
    fn send_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        server_id: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let next_probe_at = self.servers.next_probe_at(now, &mut self.random);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let class = request.class();
        let Some(server_in_flight) =
            self.servers
                .record_attempt_sent(now, &server_id, class, next_probe_at)
        else {
            return;
        };
        let is_first_attempt = !request.was_sent();
        if let Some(account) = self.quotas.account_mut(request.customer()) {
            account.record_attempt_sent(now, request.units(), is_first_attempt);
        }
        if is_first_attempt {
            self.retry_budget.record_first_attempt();
        }
        let write_deadline = retry::write_deadline(&self.deployment, request);
        let number = request.record_attempt_sent(server_id);
        let attempt = request.attempt_record(server_id, now, server_in_flight);
        let key = AttemptKey {
            request: id.clone(),
            number,
        };
        self.attempts.insert(key, attempt);
        self.requests.dequeue(&id);
        actions.push(Action::SendAttempt {
            id,
            server: server_id,
            timeout: None,
            write_deadline,
        });
    }
}
