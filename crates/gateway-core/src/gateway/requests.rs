//! Requests: their arrival, their time running out, and final answers that no server makes.

use super::Gateway;
use crate::policy::admission::{self, Admission};
use crate::policy::deadlines::{self, Expiry};
use crate::policy::quota_sharing::account::account_on_arrival;
use crate::policy::retry;
use crate::state::deployment::Context;
use crate::state::request::Request;
use crate::time::Timestamp;
use crate::types::{GatewaySet, RejectReason, RequestId};
use crate::Action;

impl Gateway {
    pub(super) fn on_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        request: Request,
        gateways: GatewaySet,
        actions: &mut Vec<Action>,
    ) {
        let context = Context {
            now,
            deployment: &self.deployment,
            fleet: self.servers.estimates(),
        };
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

    /// Answers requests that have no time left, and cancels attempts whose answer would earn nothing.
    pub(super) fn expire_requests(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let context = self.context(now);
        let expiry = |(id, request): (&RequestId, &Request)| {
            Some((id.clone(), deadlines::expiry(context, request)?))
        };
        let expired: Vec<_> = self.requests.iter().filter_map(expiry).collect();
        for (id, expiry) in &expired {
            let Expiry::CancelAttempt(attempt) = expiry else {
                continue;
            };
            if let Some(request) = self.requests.get_mut(id) {
                request.attempt_cancelled();
            }
            actions.push(Action::CancelAttempt {
                id: id.clone(),
                attempt: *attempt,
            });
        }
        for (id, expiry) in expired {
            if let Expiry::FinalAnswer(reason) = expiry {
                self.reject_or_fail(now, &id, reason, actions);
            }
        }
    }

    /// Answers a request: rejected where that promise holds, else failed.
    pub(super) fn reject_or_fail(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        reason: RejectReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        *self.rejections.entry((reason, request.plan())).or_default() += 1;
        if retry::may_reject(&self.deployment, request) {
            let account = self.quotas.account(request.customer());
            let retry_after = deadlines::retry_after(self.context(now), account, request);
            actions.push(Action::Reject {
                id: id.clone(),
                retry_after,
            });
        } else {
            actions.push(Action::Fail { id: id.clone() });
        }
        self.remove_request(id, actions);
    }

    /// Drops a request: it is answered, or its client has gone. What it took from the account here goes back
    /// if it was never sent. Nobody waits for an attempt in flight, so it is cancelled where that is
    /// permitted.
    pub(super) fn remove_request(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        if !request.was_sent() {
            if let Some(account) = self.quotas.account_mut(request.customer()) {
                account.refund(request.units());
            }
        }
        if let Some(pending) = request.quota.pending() {
            self.quotas.remove_pending(pending.sequence);
        }
        if let Some(grant) = request.quota.grant() {
            self.release_permit(grant, request.customer(), actions);
        }
        let may_cancel = self.deployment.settings.permissions.cancel_attempts;
        if let Some(attempt) = request.cancellable_attempt().filter(|_| may_cancel) {
            actions.push(Action::CancelAttempt {
                id: id.clone(),
                attempt,
            });
        }
    }
}
