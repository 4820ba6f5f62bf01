//! The progress of a request with its customer's quota owners.

use crate::time::Timestamp;
use crate::types::GatewayId;

/// One of a customer's quota owners.
#[derive(Clone, Copy, Default)]
pub(crate) struct QuotaOwner {
    /// The owner's index among the customer's owners.
    pub(crate) index: u32,
    pub(crate) gateway: GatewayId,
}

/// A lease request that waits for its response.
#[derive(Clone, Copy)]
pub(crate) struct PendingLeaseRequest {
    /// Sequence number of the lease request.
    pub(crate) sequence: u16,
    /// When the lease request was sent.
    pub(crate) sent_at: Timestamp,
}

/// The permission to send a request.
#[derive(Clone, Copy)]
pub(crate) struct RequestGrant {
    /// The gateway that granted the permission; this gateway, if it used a held lease or decided
    /// alone.
    pub(crate) owner: GatewayId,
    /// Sequence number of the lease request that the permission was granted for.
    pub(crate) sequence: u16,
    /// The time up to which the permission may be used; without a hard limit it does not expire.
    pub(crate) expires_at: Timestamp,
}

/// The lease requests sent for a request, and the grant obtained.
#[derive(Default)]
pub(crate) struct QuotaProgress {
    owner: QuotaOwner,
    pending: Option<PendingLeaseRequest>,
    rejections: u32,
    timeouts: u32,
    grant: Option<RequestGrant>,
}

impl QuotaProgress {
    /// Returns the owner that was asked most recently.
    pub(crate) fn owner(&self) -> QuotaOwner {
        self.owner
    }

    /// Returns the lease request that waits for its response, if there is one.
    pub(crate) fn pending(&self) -> Option<PendingLeaseRequest> {
        self.pending
    }

    /// Returns the number of owners' responses so far that stated that the quota is exceeded.
    pub(crate) fn rejections(&self) -> u32 {
        self.rejections
    }

    /// Returns the number of lease requests so far that received no response in time.
    pub(crate) fn timeouts(&self) -> u32 {
        self.timeouts
    }

    /// Returns the grant, or `None` while the request may not be sent.
    pub(crate) fn grant(&self) -> Option<RequestGrant> {
        self.grant
    }

    /// Returns whether no owner has rejected the request or failed to respond so far.
    pub(crate) fn is_first_try(&self) -> bool {
        self.rejections + self.timeouts == 0
    }

    /// Records that a lease request was sent to an owner.
    pub(crate) fn record_lease_request(
        &mut self,
        now: Timestamp,
        sequence: u16,
        owner: QuotaOwner,
    ) {
        self.owner = owner;
        self.pending = Some(PendingLeaseRequest {
            sequence,
            sent_at: now,
        });
    }

    /// Removes and returns the lease request with a sequence number, if it is still pending.
    pub(crate) fn take_pending(&mut self, sequence: u16) -> Option<PendingLeaseRequest> {
        self.pending.take_if(|pending| pending.sequence == sequence)
    }

    /// Records that an owner responded that the quota is exceeded.
    pub(crate) fn record_rejection(&mut self) {
        self.rejections += 1;
    }

    /// Records that the owner asked most recently has not responded in time.
    pub(crate) fn record_timeout(&mut self) {
        self.timeouts += 1;
        self.pending = None;
    }

    /// Records the grant that allows the request to be sent.
    pub(crate) fn set_grant(&mut self, grant: RequestGrant) {
        self.grant = Some(grant);
    }

    /// Drops the grant, which must no longer be used.
    pub(crate) fn drop_grant(&mut self) {
        self.grant = None;
    }
}
