//! How a request gets its quota from its customer's quota owners.

use crate::time::Timestamp;
use crate::types::GatewayId;

/// One of a customer's quota owners.
#[derive(Clone, Copy, Default)]
pub(crate) struct QuotaOwner {
    /// Its index among the customer's owners.
    pub(crate) index: u32,
    /// The gateway.
    pub(crate) gateway: GatewayId,
}

/// A lease request without a response.
#[derive(Clone, Copy)]
pub(crate) struct PendingLease {
    /// Its sequence number.
    pub(crate) sequence: u16,
    /// When it was sent.
    pub(crate) sent_at: Timestamp,
}

/// What allows a request to be sent.
#[derive(Clone, Copy)]
pub(crate) struct RequestGrant {
    /// The gateway that granted it; this one, if it used a lease or decided alone.
    pub(crate) owner: GatewayId,
    /// The lease request that it was granted under.
    pub(crate) sequence: u16,
    /// Until when it may be used under a hard limit.
    pub(crate) expires_at: Timestamp,
}

/// How far a request has come with its customer's quota owners.
#[derive(Default)]
pub(crate) struct QuotaProgress {
    owner: QuotaOwner,
    pending: Option<PendingLease>,
    rejections: u32,
    timeouts: u32,
    grant: Option<RequestGrant>,
}

impl QuotaProgress {
    /// The owner asked last.
    pub(crate) fn owner(&self) -> QuotaOwner {
        self.owner
    }

    /// The lease request without a response, if there is one.
    pub(crate) fn pending(&self) -> Option<PendingLease> {
        self.pending
    }

    /// Responses so far that the quota is exceeded.
    pub(crate) fn rejections(&self) -> u32 {
        self.rejections
    }

    /// Lease requests so far without a response in time.
    pub(crate) fn timeouts(&self) -> u32 {
        self.timeouts
    }

    /// What allows the request to be sent, if anything does yet.
    pub(crate) fn grant(&self) -> Option<RequestGrant> {
        self.grant
    }

    /// Whether no owner has rejected it or failed to respond so far.
    pub(crate) fn is_first_try(&self) -> bool {
        self.rejections + self.timeouts == 0
    }

    /// Notes that an owner has been asked.
    pub(crate) fn record_lease_request(
        &mut self,
        now: Timestamp,
        sequence: u16,
        owner: QuotaOwner,
    ) {
        self.owner = owner;
        self.pending = Some(PendingLease {
            sequence,
            sent_at: now,
        });
    }

    /// Takes the lease request that a response belongs to; `None` if it isn't pending any more.
    pub(crate) fn take_pending(&mut self, sequence: u16) -> Option<PendingLease> {
        self.pending.take_if(|pending| pending.sequence == sequence)
    }

    /// Notes that an owner has responded that the quota is exceeded.
    pub(crate) fn record_rejection(&mut self) {
        self.rejections += 1;
    }

    /// Notes that the owner asked last has not responded in time.
    pub(crate) fn record_timeout(&mut self) {
        self.timeouts += 1;
        self.pending = None;
    }

    /// Notes what allows the request to be sent.
    pub(crate) fn set_grant(&mut self, grant: RequestGrant) {
        self.grant = Some(grant);
    }

    /// Notes that the grant must not be used any more.
    pub(crate) fn drop_grant(&mut self) {
        self.grant = None;
    }
}
