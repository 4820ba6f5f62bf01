//! Final answers that the gateway gives without a server, and the removal of requests.

use super::Gateway;
use crate::policy::{retry, retry_after};
use crate::state::deployment::Context;
use crate::time::Timestamp;
use crate::types::{RejectReason, RequestId};
use crate::Action;

impl Gateway {
    /// Gives a request its final answer: a rejection if the client may safely retry the request,
    /// otherwise a failure.
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
        self.rejections.record(reason, request.plan());
        let context = Context::new(now, &self.deployment, self.servers.estimates());
        let account = self.quotas.account_mut(request.customer());
        let retry_after = retry_after::retry_after(context, account, request, reason);
        let retry_at = now + retry_after.unwrap_or_default();
        if retry::may_reject(&self.deployment, request, retry_at) {
            actions.push(Action::Reject {
                id: id.clone(),
                retry_after,
            });
        } else {
            actions.push(Action::Fail { id: id.clone() });
        }
        self.remove_request(id, actions);
    }

    /// Removes a request that was answered or whose client has disconnected. Refunds the quota
    /// units of a request that was never sent, releases its concurrency permit, and cancels its
    /// attempt in flight if the settings permit that.
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
        if !self.deployment.settings.permissions.cancel_attempts {
            return;
        }
        if let Some(attempt) = request.cancellable_attempt() {
            actions.push(Action::CancelAttempt {
                id: id.clone(),
                attempt,
            });
        }
    }
}
