//! The arrival and the expiry of requests.

use super::Gateway;
use crate::policy::admission::{self, Admission};
use crate::policy::deadlines;
use crate::policy::quota_sharing::account::account_on_arrival;
use crate::policy::quota_sharing::customer_limit;
use crate::state::deployment::Context;
use crate::state::request::Request;
use crate::time::Timestamp;
use crate::types::{GatewaySet, RejectReason, RequestId};
use crate::Action;

/// A request that gets its final answer because of its age.
struct ExpiredRequest {
    id: RequestId,
    reason: RejectReason,
}

impl Gateway {
    /// Handles a client's request that has arrived: queues it, asks a quota owner, or rejects it.
    /// Its class and plan must be in the settings.
    pub(super) fn on_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        request: Request,
        gateways: GatewaySet,
        actions: &mut Vec<Action>,
    ) {
        let plans = &self.deployment.settings.plans;
        let customer = request.customer();
        if !customer_limit::has_room_for_account(&mut self.quotas, now, plans, customer) {
            self.requests.insert(id.clone(), request);
            self.reject_or_fail(now, &id, RejectReason::TooManyCustomers, actions);
            return;
        }
        let context = Context::new(now, &self.deployment, self.servers.estimates());
        let account = account_on_arrival(&mut self.quotas, context, &request, gateways);
        let admission = admission::decide(
            self.quota_sharing,
            context,
            account,
            &request,
            &mut self.random,
        );
        self.requests.insert(id.clone(), request);
        match admission {
            Admission::Admit => self.requests.enqueue(id),
            Admission::AdmitOnLease(grant) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.quota.set_grant(grant);
                }
                self.requests.enqueue(id);
            }
            Admission::AskOwner => self.request_lease(now, id, actions),
            Admission::Reject(reason) => self.reject_or_fail(now, &id, reason, actions),
        }
    }

    /// Records that a server's answer has begun to stream to the client.
    pub(super) fn on_stream_started(&mut self, id: &RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.record_stream_start();
        }
    }

    /// Gives the requests that have expired their final answer.
    pub(super) fn expire_requests(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for ExpiredRequest { id, reason } in self.expired_requests(now) {
            self.reject_or_fail(now, &id, reason, actions);
        }
    }

    fn expired_requests(&self, now: Timestamp) -> Vec<ExpiredRequest> {
        let context = self.context(now);
        let expired = self.requests.iter().filter_map(|(id, request)| {
            let account = || self.quotas.account(request.customer());
            let reason = deadlines::expiry(context, request, account)?;
            Some(ExpiredRequest {
                id: id.clone(),
                reason,
            })
        });
        expired.collect()
    }
}
