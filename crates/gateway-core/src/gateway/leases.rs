//! The lease protocol: requests to quota owners, their answers, and what is done while there is none.

use super::Gateway;
use crate::message::{
    self, LeaseAnswer, LeaseDecision, LeaseGrant, LeaseRequest, Message, PermitRelease,
};
use crate::policy::lease as policy;
use crate::policy::quota_owner::{lease_lifetime, owners_of, OwnerRequest};
use crate::state::deployment::FleetMode;
use crate::state::lease::Lease;
use crate::state::permits::PermitHolder;
use crate::state::request::{PendingLeaseRequest, QuotaGrant, QuotaOwner};
use crate::time::Timestamp;
use crate::types::{CustomerId, GatewayId, GatewaySet, RejectReason, RequestId};
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
        let Some(bucket) = self.quotas.local.get(&request.customer()) else {
            return;
        };
        let plan = self.deployment.plan_of(request);
        let owners = owners_of(
            &self.deployment.settings,
            request.customer(),
            plan,
            bucket.gateways(),
        );
        let owner = policy::next_owner(&self.quotas, now, owners, request, &mut self.random);
        let sequence = self.quotas.next_sequence();
        let Some(bucket) = self.quotas.local.get_mut(&request.customer()) else {
            return;
        };
        let renewal = policy::renew(bucket, now, request.units(), owner.index);
        let lease_request = LeaseRequest {
            sequence,
            customer: request.customer(),
            plan: request.plan(),
            gateways: bucket.gateways(),
            owner_index: owner.index,
            units: request.units(),
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
            let bytes = message::encode(&Message::LeaseRequest(
                request,
                self.servers.digest(now, &mut self.random),
            ));
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
        if let Some(bucket) = self.quotas.local.get_mut(&request.customer()) {
            bucket.lease_request_probability = grant.request_probability;
            bucket.probability_set_at = now;
            if grant.leased_units > 0.0 {
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
        match grant.decision {
            LeaseDecision::Granted if policy::has_expired(hard_limit.as_ref(), expires_at, now) => {
                self.request_lease(now, id, actions);
            }
            LeaseDecision::Granted => {
                request.quota.grant = Some(QuotaGrant {
                    owner: owner.gateway,
                    sequence,
                });
                request.quota.grant_expires_at = expires_at;
                request.delayed_by_quota_until(now);
                self.requests.enqueue(id);
            }
            LeaseDecision::QuotaExceeded => self.on_lease_rejected(now, id, grant, actions),
        }
    }

    fn on_lease_rejected(
        &mut self,
        now: Timestamp,
        id: RequestId,
        grant: LeaseGrant,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.quota.rejections += 1;
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if policy::asks_another_owner(self.context(now), request, grant) {
            self.request_lease(now, id, actions);
        } else {
            self.reject_or_fail(now, &id, RejectReason::QuotaExceeded, actions);
        }
    }

    /// Looks after requests that were never sent: their owner is silent, or their grant has expired.
    pub(super) fn check_lease_requests(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.deployment.mode != FleetMode::Leases {
            return;
        }
        let unsent = self
            .requests
            .iter()
            .filter(|(_, request)| !request.was_sent());
        let unsent: Vec<_> = unsent.map(|(id, _)| id.clone()).collect();
        for id in unsent {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            if let Some(grant) = request.quota.grant {
                self.check_grant(now, id, grant, actions);
            } else if let Some(pending) = request.quota.pending {
                self.check_pending(now, id, pending, actions);
            } else {
                self.request_lease(now, id, actions);
            }
        }
    }

    fn check_grant(
        &mut self,
        now: Timestamp,
        id: RequestId,
        grant: QuotaGrant,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let hard_limit = self.deployment.plan_of(request).hard_limit.as_ref();
        if !policy::has_expired(hard_limit, request.quota.grant_expires_at, now) {
            return;
        }
        request.quota.grant = None;
        let customer = request.customer();
        self.requests.dequeue(&id);
        self.release_permit(grant, customer, actions);
        self.request_lease(now, id, actions);
    }

    fn check_pending(
        &mut self,
        now: Timestamp,
        id: RequestId,
        pending: PendingLeaseRequest,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !policy::is_missed(request, pending, now) {
            return;
        }
        request.quota.misses += 1;
        request.quota.pending = None;
        self.quotas.pending.remove(&pending.sequence);
        let misses = self
            .quotas
            .unresponsive
            .entry(request.quota.owner.gateway)
            .or_default();
        misses.record(now + policy::OWNER_COOLDOWN);
        let hard_limit = self.deployment.plan_of(request).hard_limit.as_ref();
        if !policy::decides_alone(request, hard_limit) {
            return self.request_lease(now, id, actions);
        }
        let owner = self.deployment.settings.gateway_id;
        request.quota.grant = Some(QuotaGrant {
            owner,
            sequence: pending.sequence,
        });
        request.delayed_by_quota_until(now);
        if policy::is_covered(self.quotas.local.get(&request.customer())) {
            self.requests.enqueue(id);
        } else {
            self.reject_or_fail(now, &id, RejectReason::OwnerUnreachable, actions);
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
