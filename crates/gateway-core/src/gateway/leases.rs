//! The lease protocol of a large fleet: sends lease requests to quota owners, handles their
//! responses, and handles responses that are overdue. The decisions are made by
//! [`quota_sharing`](crate::policy::quota_sharing).

use super::Gateway;
use crate::message::{self, LeaseDecision, LeaseRequest, LeaseResponse, Message, PermitRelease};
use crate::policy::quota_sharing::customer_limit;
use crate::policy::quota_sharing::lease::{
    self as policy, ResponseDecision, TimeoutDecision, UnsentDecision,
};
use crate::policy::quota_sharing::owner::{lease_lifetime, owners_of, ReceivedLeaseRequest};
use crate::state::deployment::Context;
use crate::state::quota::{
    CustomerAccount, HeldLease, PendingLeaseRequest, PermitHolder, QuotaOwner, RequestGrant,
};
use crate::state::request::Request;
use crate::time::Timestamp;
use crate::types::{CustomerId, GatewayId, RejectReason, RequestId};
use crate::units::Units;
use crate::Action;

impl Gateway {
    /// Asks one of the quota owners of a request's customer to grant the request's units.
    pub(super) fn request_lease(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(account) = self.quotas.account(request.customer()) else {
            return;
        };
        let plan = self.deployment.plan_of(request);
        let owners = owners_of(
            &self.deployment.settings,
            request.customer(),
            plan,
            account.gateways(),
        );
        let owner = policy::next_owner(&self.quotas, now, owners, request, &mut self.random);
        let sequence = self.quotas.next_sequence();
        let Some(account) = self.quotas.account_mut(request.customer()) else {
            return;
        };
        let lease_request = policy::lease_request(account, now, request, owner, sequence);
        request.quota.record_lease_request(now, sequence, owner);
        self.quotas.insert_pending(sequence, id);
        self.send_lease_request(now, owner, lease_request, actions);
    }

    /// Sends a lease request to a quota owner. If the owner is this gateway, decides the lease
    /// request itself and handles the response immediately.
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
        let response = self
            .decide_lease_request(now, owner.gateway, &request)
            .unwrap_or(LeaseResponse::rejected(request.sequence));
        self.on_lease_response(now, response, actions);
    }

    /// Responds to a lease request from another gateway, as the quota owner. Ignores a lease
    /// request that is malformed or does not name this gateway as the owner.
    pub(super) fn on_lease_request(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        request: &LeaseRequest,
        actions: &mut Vec<Action>,
    ) {
        let Some(response) = self.decide_lease_request(now, from, request) else {
            return;
        };
        let response = Message::LeaseResponse(response, self.servers.digest(now, &mut self.random));
        actions.push(Action::SendToPeer {
            to: from,
            bytes: message::encode(&response),
        });
    }

    /// Returns this gateway's response, as the quota owner, to a lease request. Returns `None` if
    /// the lease request is malformed or does not name this gateway as the owner, or if there is no
    /// memory for the state of another customer.
    fn decide_lease_request(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        request: &LeaseRequest,
    ) -> Option<LeaseResponse> {
        let settings = &self.deployment.settings;
        let request = ReceivedLeaseRequest::new(settings, from, request)?;
        if !customer_limit::has_room_for_owned(
            &mut self.quotas,
            now,
            &settings.plans,
            request.customer(),
        ) {
            return None;
        }
        let owned = self
            .quotas
            .owned_or_insert(request.customer(), || request.new_part(settings, now));
        Some(request.decide(settings, now, owned))
    }

    /// Handles an owner's response: updates the customer's account, and queues or rejects the
    /// request or asks another owner. Ignores a response that no request waits for.
    pub(super) fn on_lease_response(
        &mut self,
        now: Timestamp,
        response: LeaseResponse,
        actions: &mut Vec<Action>,
    ) {
        let Some(id) = self.quotas.remove_pending(response.sequence) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(pending) = request.quota.take_pending(response.sequence) else {
            return;
        };
        let hard_limit = self.deployment.plan_of(request).hard_limit.as_ref();
        let expires_at = pending.sent_at + lease_lifetime(hard_limit);
        let owner = request.quota.owner();
        self.quotas.record_response(owner.gateway);
        if let Some(account) = self.quotas.account_mut(request.customer()) {
            record_response(account, now, owner, &response, expires_at);
        }
        if response.decision == LeaseDecision::QuotaExceeded {
            request.quota.record_rejection();
        }
        let context = Context::new(now, &self.deployment, self.servers.estimates());
        match policy::on_response(context, request, &response, expires_at) {
            ResponseDecision::Send => {
                let grant = RequestGrant {
                    owner: owner.gateway,
                    sequence: response.sequence,
                    expires_at,
                };
                grant_request(now, request, grant);
                self.requests.enqueue(id);
            }
            ResponseDecision::AskAgain => self.request_lease(now, id, actions),
            ResponseDecision::Reject => {
                self.reject_or_fail(now, &id, RejectReason::QuotaExceeded, actions);
            }
        }
    }

    /// Checks whether the lease response of any unsent request is overdue, or its grant has
    /// expired.
    pub(super) fn check_unsent_requests(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.quota_sharing.uses_leases() {
            return;
        }
        let unsent: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.was_sent())
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
        match policy::check_unsent(&self.deployment, &self.quotas, now, request) {
            UnsentDecision::Wait => {}
            UnsentDecision::RequestLease => self.request_lease(now, id, actions),
            UnsentDecision::RenewGrant(grant) => self.renew_grant(now, id, grant, actions),
            UnsentDecision::TimedOut { pending, next } => {
                self.record_owner_timeout(now, &id, pending);
                self.continue_after_timeout(now, id, pending, next, actions);
            }
        }
    }

    /// Drops a request's expired grant, releases its concurrency permit, and asks an owner again.
    fn renew_grant(
        &mut self,
        now: Timestamp,
        id: RequestId,
        grant: RequestGrant,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.quota.drop_grant();
        let customer = request.customer();
        self.requests.dequeue(&id);
        self.release_permit(grant, customer, actions);
        self.request_lease(now, id, actions);
    }

    /// Records that an owner has not responded to a lease request in time.
    fn record_owner_timeout(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        pending: PendingLeaseRequest,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.quota.record_timeout();
        self.quotas.remove_pending(pending.sequence);
        let owner = request.quota.owner().gateway;
        self.quotas
            .record_timeout(owner, now + policy::OWNER_COOLDOWN);
    }

    /// Asks an owner again, or queues or rejects the request without an owner's response.
    fn continue_after_timeout(
        &mut self,
        now: Timestamp,
        id: RequestId,
        pending: PendingLeaseRequest,
        next: TimeoutDecision,
        actions: &mut Vec<Action>,
    ) {
        if matches!(next, TimeoutDecision::AskAgain) {
            return self.request_lease(now, id, actions);
        }
        // A request that is rejected below is granted too; its rejection releases the grant again.
        if let Some(request) = self.requests.get_mut(&id) {
            let own_grant = RequestGrant {
                owner: self.deployment.settings.gateway_id,
                sequence: pending.sequence,
                expires_at: Timestamp::MAX,
            };
            grant_request(now, request, own_grant);
        }
        if let TimeoutDecision::Reject(reason) = next {
            self.reject_or_fail(now, &id, reason, actions);
        } else {
            self.requests.enqueue(id);
        }
    }

    /// Releases the concurrency permit of a grant: here if this gateway is the owner that granted
    /// it, otherwise by a message to the owner.
    pub(super) fn release_permit(
        &mut self,
        grant: RequestGrant,
        customer: CustomerId,
        actions: &mut Vec<Action>,
    ) {
        let sequence = grant.sequence;
        match policy::permit_release(&self.deployment, &self.quotas, customer, grant) {
            policy::PermitReleaseTarget::ThisGateway => {
                let holder = PermitHolder {
                    gateway: grant.owner,
                    sequence,
                };
                self.quotas.release_permit(customer, holder);
            }
            policy::PermitReleaseTarget::Owner(owner) => {
                let release = Message::PermitRelease(PermitRelease { sequence, customer });
                actions.push(Action::SendToPeer {
                    to: owner,
                    bytes: message::encode(&release),
                });
            }
            policy::PermitReleaseTarget::NoGateway => {}
        }
    }
}

/// Records the request probability and the lease of an owner's response in the customer's account.
fn record_response(
    account: &mut CustomerAccount,
    now: Timestamp,
    owner: QuotaOwner,
    response: &LeaseResponse,
    expires_at: Timestamp,
) {
    account.set_request_probability(now, response.lease_request_probability);
    if response.leased_units > Units::ZERO {
        account.hold_lease(HeldLease::new(
            response.leased_units,
            expires_at,
            owner.index,
            response.sequence,
        ));
    }
}

/// Sets a request's grant. Time from `now` on counts towards the request's latency, because the
/// quota no longer delays the request.
fn grant_request(now: Timestamp, request: &mut Request, grant: RequestGrant) {
    request.quota.set_grant(grant);
    request.record_quota_delay(now);
}
