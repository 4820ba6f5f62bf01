//! Open requests: their arrival, and their expiry.

use super::Gateway;
use crate::policy::admission::{self, Admission};
use crate::policy::deadlines::{self, Expiry};
use crate::policy::quota;
use crate::state::deployment::Context;
use crate::state::quota_state::{silent_gateways, QuotaState};
use crate::state::request::{QuotaGrant, Request};
use crate::state::token_bucket::{BucketConfig, TokenBucket};
use crate::time::Timestamp;
use crate::types::{AttemptNumber, GatewaySet, RequestId};
use crate::Action;

/// A request whose age requires something, and what that is.
struct ExpiredRequest {
    id: RequestId,
    expiry: Expiry,
}

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
    /// A client's request has arrived. One of an unknown class or plan fails.
    pub(super) fn on_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        request: Request,
        gateways: GatewaySet,
        actions: &mut Vec<Action>,
    ) {
        if !self.deployment.is_known(&request) {
            return actions.push(Action::Fail { id });
        }
        let context = Context::new(now, &self.deployment, self.servers.estimates());
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

    /// The answer of a server has begun to stream to the client.
    pub(super) fn on_stream_started(&mut self, id: &RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.stream_started();
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
            request.attempt_cancelled();
        }
        actions.push(Action::CancelAttempt { id, attempt });
    }
}
