//! Requests: their arrival, their time running out, and final answers that no server makes.

use super::Gateway;
use crate::policy::admission::{self, Admission};
use crate::policy::deadlines::{self, Expiry};
use crate::policy::{quota, retry};
use crate::state::deployment::Context;
use crate::state::quota_state::{silent_gateways, QuotaState};
use crate::state::request::{QuotaGrant, Request};
use crate::state::token_bucket::{BucketConfig, TokenBucket};
use crate::time::Timestamp;
use crate::types::{GatewaySet, RejectReason, RequestId};
use crate::Action;

/// The bucket of a request's customer, refilled up to now.
fn refilled_bucket<'a>(
    quotas: &'a mut QuotaState,
    context: Context<'_>,
    request: &Request,
    gateways: GatewaySet,
) -> &'a mut TokenBucket {
    let now = context.now;
    let settings = &context.deployment.settings;
    let config = BucketConfig {
        plan_id: request.plan(),
        plan: context.deployment.plan_of(request),
        gateways: GatewaySet {
            count: gateways.count.clamp(1, settings.gateway_count),
            ..gateways
        },
        max_request_units: settings.max_request_units,
    };
    let uptime = quotas.uptime(now);
    let restarted = quotas.restarted_recently;
    let bucket = quotas.local.entry(request.customer());
    let bucket = bucket.or_insert_with(|| quota::new_bucket(now, uptime, restarted, config));
    quota::follow_hints(settings, bucket, now, config);
    let silent = silent_gateways(
        &quotas.last_heard,
        bucket.gateways(),
        now,
        quota::PARTITIONED,
    );
    bucket.refill(now, &settings.plans[bucket.plan.0], silent);
    bucket
}

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
        let bucket = refilled_bucket(&mut self.quotas, context, &request, gateways);
        let admission = admission::decide(context, bucket, &request, &mut self.random);
        let lease_sequence = bucket.lease.sequence;
        self.requests.insert(id.clone(), request);
        match admission {
            Admission::Admit => self.requests.enqueue(id),
            Admission::AdmitOnLease { expires_at } => {
                let owner = self.deployment.settings.gateway_id;
                if let Some(request) = self.requests.get_mut(&id) {
                    request.quota.grant = Some(QuotaGrant {
                        owner,
                        sequence: lease_sequence,
                    });
                    request.quota.grant_expires_at = expires_at;
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
            let bucket = self.quotas.local.get(&request.customer());
            let retry_after = deadlines::retry_after(self.context(now), bucket, request);
            actions.push(Action::Reject {
                id: id.clone(),
                retry_after,
            });
        } else {
            actions.push(Action::Fail { id: id.clone() });
        }
        self.remove_request(id, actions);
    }

    /// Drops a request: it is answered, or its client has gone. What it took from the bucket here goes back
    /// if it was never sent. Nobody waits for an attempt in flight, so it is cancelled where that is
    /// permitted.
    pub(super) fn remove_request(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        if !request.was_sent() {
            if let Some(bucket) = self.quotas.local.get_mut(&request.customer()) {
                bucket.tokens += request.units();
            }
        }
        if let Some(pending) = request.quota.pending {
            self.quotas.pending.remove(&pending.sequence);
        }
        if let Some(grant) = request.quota.grant {
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
