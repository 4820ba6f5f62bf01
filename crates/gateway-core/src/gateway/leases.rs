//! The lease protocol: requests to quota owners, their answers, and what is done while there is none.

use super::Gateway;
use crate::message::{
    self, LeaseAnswer, LeaseDecision, LeaseGrant, LeaseRequest, Message, PermitRelease,
};
use crate::policy::quota_sharing::lease::{
    self as policy, AfterMiss, ResponseDecision, UnsentDecision,
};
use crate::policy::quota_sharing::owner::{lease_lifetime, owners_of, OwnerRequest};
use crate::state::deployment::Context;
use crate::state::lease::Lease;
use crate::state::permits::PermitHolder;
use crate::state::request::{PendingLeaseRequest, QuotaGrant, QuotaOwner};
use crate::time::Timestamp;
use crate::types::{CustomerId, GatewayId, GatewaySet, RejectReason, RequestId};
use crate::units::Units;
use crate::Action;

impl Gateway {
    /// Asks one of the customer's owners for a request's units.
    pub(super) fn request_lease(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(bucket) = self.quotas.local.get(&request.customer) else {
            return;
        };
        let plan = self.deployment.plan_of(request);
        let owners = owners_of(
            &self.deployment.settings,
            request.customer,
            plan,
            bucket.gateways(),
        );
        let owner = policy::next_owner(&self.quotas, now, owners, request, &mut self.random);
        let sequence = self.quotas.next_sequence();
        let Some(bucket) = self.quotas.local.get_mut(&request.customer) else {
            return;
        };
        let renewal = policy::renew(bucket, now, request.units, owner.index);
        let lease_request = LeaseRequest {
            sequence,
            customer: request.customer,
            plan: request.plan,
            gateways: bucket.gateways(),
            owner_index: owner.index,
            units: request.units,
            requested_units: renewal.requested_units,
            returned: renewal.returned,
        };
        request.quota.ask(now, sequence, owner);
        self.quotas.pending.insert(sequence, id);
        self.send_lease_request(now, owner, lease_request, actions);
    }

    fn send_lease_request(
        &mut self,
        now: Timestamp,
        owner: QuotaOwner,
        request: LeaseRequest,
        actions: &mut Vec<Action>,
    ) {
        if owner.gateway != self.deployment.settings.gateway_id {
            let bytes = message::encode(&Message::LeaseRequest(request, self.digest(now)));
            return actions.push(Action::SendToPeer {
                to: owner.gateway,
                bytes,
            });
        }
        let grant = self.decide_lease_request(now, owner.gateway, &request);
        let grant = grant.unwrap_or(LeaseGrant::REJECTED);
        self.on_lease_answer(
            now,
            LeaseAnswer {
                sequence: request.sequence,
                grant,
            },
            actions,
        );
    }

    /// As an owner: what is granted. `None` if this gateway is not the owner meant.
    pub(super) fn decide_lease_request(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        request: &LeaseRequest,
    ) -> Option<LeaseGrant> {
        let settings = &self.deployment.settings;
        let plan = settings.plans.get(request.plan.0)?;
        let count = request.gateways.count.clamp(1, settings.gateway_count);
        let gateways = GatewaySet {
            count,
            ..request.gateways
        };
        let owners = owners_of(settings, request.customer, plan, gateways);
        let request = OwnerRequest {
            from,
            request,
            owners,
            plan,
        };
        if !request.is_for(settings.gateway_id) {
            return None;
        }
        let bucket = self.quotas.owned.entry(request.request.customer);
        let bucket = bucket.or_insert_with(|| request.new_bucket(settings, now));
        Some(request.decide(settings, now, bucket))
    }

    pub(super) fn on_lease_answer(
        &mut self,
        now: Timestamp,
        answer: LeaseAnswer,
        actions: &mut Vec<Action>,
    ) {
        let LeaseAnswer { sequence, grant } = answer;
        let Some(id) = self.quotas.pending.remove(&sequence) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(pending) = request
            .quota
            .pending
            .take_if(|pending| pending.sequence == sequence)
        else {
            return;
        };
        let owner = request.quota.owner;
        self.quotas.unresponsive.remove(&owner.gateway);
        let hard_limit = self.deployment.plan_of(request).hard_limit;
        let expires_at = pending.sent_at + lease_lifetime(hard_limit.as_ref());
        if let Some(bucket) = self.quotas.local.get_mut(&request.customer) {
            bucket.lease_request_probability = grant.request_probability;
            bucket.probability_set_at = now;
            if grant.leased_units > Units::ZERO {
                let requested_at = bucket.lease.requested_at;
                let units = grant.leased_units;
                bucket.lease = Lease {
                    units,
                    expires_at,
                    owner_index: owner.index,
                    sequence,
                    requested_at,
                };
            }
        }
        if grant.decision == LeaseDecision::QuotaExceeded {
            request.quota.rejections += 1;
        }
        let context = Context {
            now,
            deployment: &self.deployment,
            fleet: &self.fleet,
        };
        match policy::on_response(context, request, grant, expires_at) {
            ResponseDecision::Send => {
                request.quota.grant = Some(QuotaGrant {
                    owner: owner.gateway,
                    sequence,
                });
                request.quota.grant_expires_at = expires_at;
                request.due_since = now;
                self.requests.enqueue(id);
            }
            ResponseDecision::AskAgain => self.request_lease(now, id, actions),
            ResponseDecision::Reject => {
                self.reject_or_fail(now, &id, RejectReason::QuotaExceeded, actions);
            }
        }
    }

    /// Checks the requests that were never sent: whether their owner has failed to respond, or their grant has
    /// expired.
    pub(super) fn check_unsent_requests(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.quota_sharing.uses_leases() {
            return;
        }
        let unsent: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.attempts == 0)
            .map(|(id, _)| id.clone())
            .collect();
        for id in unsent {
            self.check_unsent_request(now, id, actions);
        }
    }

    fn check_unsent_request(&mut self, now: Timestamp, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let bucket = self.quotas.local.get(&request.customer);
        match policy::check_unsent(&self.deployment, now, request, bucket) {
            UnsentDecision::Wait => {}
            UnsentDecision::RequestLease => self.request_lease(now, id, actions),
            UnsentDecision::RenewGrant(grant) => self.renew_grant(now, id, grant, actions),
            UnsentDecision::Missed { pending, next } => {
                self.record_miss(now, &id, pending);
                self.continue_after_miss(now, id, pending, next, actions);
            }
        }
    }

    /// Gives up a grant that has expired, and asks again.
    fn renew_grant(
        &mut self,
        now: Timestamp,
        id: RequestId,
        grant: QuotaGrant,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.quota.grant = None;
        let customer = request.customer;
        self.requests.dequeue(&id);
        self.release_permit(grant, customer, actions);
        self.request_lease(now, id, actions);
    }

    /// Notes that an owner has not responded to a request in time.
    fn record_miss(&mut self, now: Timestamp, id: &RequestId, pending: PendingLeaseRequest) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.quota.misses += 1;
        request.quota.pending = None;
        self.quotas.pending.remove(&pending.sequence);
        let misses = self
            .quotas
            .unresponsive
            .entry(request.quota.owner.gateway)
            .or_default();
        misses.record(now + policy::OWNER_COOLDOWN);
    }

    fn continue_after_miss(
        &mut self,
        now: Timestamp,
        id: RequestId,
        pending: PendingLeaseRequest,
        next: AfterMiss,
        actions: &mut Vec<Action>,
    ) {
        if matches!(next, AfterMiss::AskAgain) {
            return self.request_lease(now, id, actions);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.quota.grant = Some(QuotaGrant {
                owner: self.deployment.settings.gateway_id,
                sequence: pending.sequence,
            });
            request.due_since = now;
        }
        if let AfterMiss::Reject(reason) = next {
            self.reject_or_fail(now, &id, reason, actions);
        } else {
            self.requests.enqueue(id);
        }
    }

    /// Releases the concurrency permit that an owner granted.
    pub(super) fn release_permit(
        &mut self,
        grant: QuotaGrant,
        customer: CustomerId,
        actions: &mut Vec<Action>,
    ) {
        let QuotaGrant { owner, sequence } = grant;
        if owner == self.deployment.settings.gateway_id {
            if let Some(bucket) = self.quotas.owned.get_mut(&customer) {
                bucket.permits.release(PermitHolder {
                    gateway: owner,
                    sequence,
                });
            }
            return;
        }
        let bucket = self.quotas.local.get(&customer);
        let plan = bucket.map(|bucket| &self.deployment.settings.plans[bucket.plan.0]);
        if plan.is_some_and(|plan| plan.max_concurrent.is_some()) {
            let release = Message::PermitRelease(PermitRelease { sequence, customer });
            actions.push(Action::SendToPeer {
                to: owner,
                bytes: message::encode(&release),
            });
        }
    }
}
