//! Open requests: their arrival, and their expiry.

use super::Gateway;
use crate::policy::admission::{self, Admission};
use crate::policy::deadlines::{self, Expiry};
use crate::policy::quota_sharing::account::account_on_arrival;
use crate::state::deployment::Context;
use crate::state::request::Request;
use crate::time::Timestamp;
use crate::types::{AttemptNumber, GatewaySet, RequestId};
use crate::Action;

/// A request whose age requires something, and what that is.
struct ExpiredRequest {
    id: RequestId,
    expiry: Expiry,
}

impl Gateway {
    /// A client's request has arrived, of a class and a plan that the settings have.
    pub(super) fn on_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        request: Request,
        gateways: GatewaySet,
        actions: &mut Vec<Action>,
    ) {
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

    /// The answer of a server has begun to stream to the client.
    pub(super) fn on_stream_started(&mut self, id: &RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.record_stream_start();
        }
    }

    /// Gives requests whose time is over their final answer, and cancels attempts whose answer
    /// would have no value any more.
    pub(super) fn expire_requests(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let expired = self.expired_requests(now);
        for ExpiredRequest { id, expiry } in &expired {
            if let Expiry::CancelAttempt(attempt) = expiry {
                self.cancel_attempt(id.clone(), *attempt, actions);
            }
        }
        for ExpiredRequest { id, expiry } in expired {
            if let Expiry::FinalAnswer(reason) = expiry {
                self.reject_or_fail(now, &id, reason, actions);
            }
        }
    }

    fn expired_requests(&self, now: Timestamp) -> Vec<ExpiredRequest> {
        let context = self.context(now);
        let expired = self.requests.iter().filter_map(|(id, request)| {
            let expiry = deadlines::expiry(context, request)?;
            Some(ExpiredRequest {
                id: id.clone(),
                expiry,
            })
        });
        expired.collect()
    }

    /// Cancels the attempt of a request that is in flight; the request stays open.
    pub(super) fn cancel_attempt(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        actions: &mut Vec<Action>,
    ) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.record_cancellation();
        }
        actions.push(Action::CancelAttempt { id, attempt });
    }
}
