//! Admission: what becomes of a request that has just arrived.
//!
//! [`decide`] records the request's demand, asks the fleet's way of sharing quotas
//! ([`QuotaSharing`]), and charges the request's units to its customer's account.

use super::deadlines::FINAL_ANSWER_MARGIN;
use super::quota_sharing::owner::MAX_LEASE_LIFETIME;
use super::quota_sharing::QuotaSharing;
use crate::state::deployment::Context;
use crate::state::quota::{CustomerAccount, RequestGrant};
use crate::state::request::Request;
use crate::types::RejectReason;

/// What becomes of a request that has just arrived.
pub(crate) enum Admission {
    /// The customer's account here covers it.
    Admit,
    /// The lease that this gateway holds for the customer covers it.
    AdmitOnLease(RequestGrant),
    /// One of the customer's quota owners decides.
    AskOwner,
    /// It is rejected.
    Reject(RejectReason),
}

/// Decides on a request that has just arrived, and charges its units to `account`, its customer's,
/// which has been refilled up to now. The units are charged whatever is decided; a request that is
/// never sent returns them.
pub(crate) fn decide(
    quota_sharing: QuotaSharing,
    context: Context<'_>,
    account: &mut CustomerAccount,
    request: &Request,
    random: &mut fastrand::Rng,
) -> Admission {
    account.record_demand(context.now, request.units(), MAX_LEASE_LIFETIME);
    let admission = quota_sharing.on_arrival(context, account, request, random);
    account.charge(request.units());
    admission
}

/// Whether the deadline of a request leaves no time for an attempt.
pub(super) fn is_deadline_too_short(context: Context<'_>, request: &Request) -> bool {
    request.deadline() <= context.now + FINAL_ANSWER_MARGIN
}
