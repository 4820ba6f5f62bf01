//! Deadlines: when an open request gets its final answer because of its age.
//!
//! The rules, in the order in which they apply to a request at each timer:
//! 1. A request with an attempt in flight gets its final answer shortly before its deadline.
//! 2. Any other request waits as long as the time that its client has left suffices for an attempt
//!    ([`is_too_late_for_attempt`]), and then gets its final answer. Its client hears so at once: what
//!    is left of its time would be spent on an attempt without an answer.
//!    It is not kept waiting if its customer's hard limit will admit it only after that.
//! 3. A queued request that may never be sent again, because its idempotency key has been forgotten
//!    since it was queued, gets its final answer immediately.
//!
//! The design has requests over the in-flight limit wait: "Requests over the cap wait, and are refused
//! at their deadline".

use super::retry::may_never_be_sent_again;
use crate::state::deployment::Context;
use crate::state::quota::CustomerAccount;
use crate::state::request::Request;
use crate::time::{DurationExt, Timestamp};
use crate::types::RejectReason;
use std::time::Duration;

/// Interval between timers while requests are open; a small fraction of the time that clients wait.
pub(crate) const TIMER_PERIOD: Duration = Duration::from_millis(10);
/// How long before its deadline a request gets its final answer, because the next timer might fire
/// too late.
pub(super) const FINAL_ANSWER_MARGIN: Duration = TIMER_PERIOD.saturating_mul(2);
/// Time that an attempt is expected to need, in mean latencies of all servers: nearly all attempts are
/// answered within it, also where the work of requests differs much.
const ATTEMPT_TIME_LATENCIES: f64 = 3.0;
/// Largest fraction of a client's timeout that an attempt is expected to need. The mean latency may
/// have grown during an outage, and only further attempts correct it, so every request may be sent in
/// the other part of its time.
const MAX_ATTEMPT_TIME_FRACTION: f64 = 0.5;

/// Returns the reason for which an open request gets its final answer because of its age; `None` if
/// none is due. `account` looks up the account of its customer, if it has one; it is called only if
/// the decision depends on it.
///
/// A request with an attempt in flight gets its final answer at its deadline, any other as soon as no
/// attempt could be answered in time or may be sent.
pub(crate) fn expiry<'a>(
    context: Context<'_>,
    request: &Request,
    account: impl FnOnce() -> Option<&'a CustomerAccount>,
) -> Option<RejectReason> {
    if request.is_in_flight() {
        let is_due = context.now + FINAL_ANSWER_MARGIN >= request.deadline();
        return is_due.then_some(RejectReason::RetriesExhausted);
    }
    if is_too_late_for_attempt(context, request) || may_never_be_sent_again(context, request) {
        return Some(timeout_reason(context, request));
    }
    if request.was_sent() || context.deployment.quota_owners_grant() {
        return None;
    }
    account()
        .filter(|account| is_admitted_too_late(context, account, request))
        .map(|_| RejectReason::QuotaExceeded)
}

/// Returns whether an attempt that is sent now is not expected to be answered while the client of the
/// request waits.
pub(super) fn is_too_late_for_attempt(context: Context<'_>, request: &Request) -> bool {
    is_too_late_to_start(context, request, context.now)
}

/// Returns whether an attempt that is sent at `start` is not expected to be answered while the client
/// of the request waits.
///
/// An attempt is expected to need [`ATTEMPT_TIME_LATENCIES`], but at most
/// [`MAX_ATTEMPT_TIME_FRACTION`] of the client's timeout. One with less time would most likely end
/// without an answer: the client of a payment would not know whether it was executed, whereas a
/// rejection tells it that it may try again.
fn is_too_late_to_start(context: Context<'_>, request: &Request, start: Timestamp) -> bool {
    let longest_us = request.client_timeout().as_micros_f64() * MAX_ATTEMPT_TIME_FRACTION;
    let attempt_us = (context.fleet.mean_latency_us() * ATTEMPT_TIME_LATENCIES).min(longest_us);
    let answered_at = start + Duration::from_micros_f64(attempt_us);
    answered_at + FINAL_ANSWER_MARGIN >= request.deadline()
}

/// Returns whether this gateway's part of the hard limit will hold the units of an unsent request
/// only when it is too late for an attempt.
fn is_admitted_too_late(
    context: Context<'_>,
    account: &CustomerAccount,
    request: &Request,
) -> bool {
    let plan = &context.deployment.settings.plans[account.plan().0];
    let admitted_at = account.hard_limit_available_at(plan, request.units());
    is_too_late_to_start(context, request, admitted_at.max(context.now))
}

/// Returns the reason for a final answer that is due because of the request's age: what the request
/// was waiting for.
fn timeout_reason(context: Context<'_>, request: &Request) -> RejectReason {
    if request.was_sent() {
        RejectReason::RetriesExhausted
    } else if context.deployment.quota_owners_grant() && request.quota.grant().is_none() {
        RejectReason::QuotaTimeout
    } else {
        RejectReason::QueueTimeout
    }
}
