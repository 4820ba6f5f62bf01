//! Admission: the decision on a request that has just arrived.
//!
//! [`decide`] records the request's demand, lets the fleet's [`QuotaSharing`] decide, and charges
//! the request's units to its customer's account.

use super::deadlines::FINAL_ANSWER_MARGIN;
use super::quota_sharing::owner::MAX_LEASE_LIFETIME;
use super::quota_sharing::QuotaSharing;
use crate::state::deployment::Context;
use crate::state::quota::{CustomerAccount, RequestGrant};
use crate::state::request::Request;
use crate::types::RejectReason;

/// Decision on a request that has just arrived.
pub(crate) enum Admission {
    /// The request is admitted: the customer's account at this gateway covers it.
    Admit,
    /// The request is admitted: the lease that this gateway holds for the customer covers it.
    AdmitOnLease(RequestGrant),
    /// One of the customer's quota owners decides: it is sent a lease request.
    AskOwner,
    /// The request is rejected.
    Reject(RejectReason),
}

/// Decides on a request that has just arrived, and charges its units to `account`.
///
/// `account` is the account of the request's customer, refilled up to now. The units are charged
/// whatever the decision is; they are returned if the request is never sent.
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

/// Returns whether the deadline of a request leaves no time for an attempt.
pub(super) fn is_deadline_too_short(context: Context<'_>, request: &Request) -> bool {
    request.deadline() <= context.now + FINAL_ANSWER_MARGIN
}
