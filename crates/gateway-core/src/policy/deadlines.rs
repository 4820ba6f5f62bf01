//! Deadlines: when an open request gets its final answer because of its age, and when a rejected
//! client may retry.
//!
//! The rules, in the order in which they apply to a request at each timer:
//! 1. The final answer is due shortly before the request's deadline, or shortly before its half
//!    time (half of the client's timeout) while no attempt is in flight or has reached a server
//!    ([`expiry`]).
//! 2. A queued request that may never be sent again, because its idempotency key has been forgotten
//!    since it was queued, gets its final answer immediately.
//! 3. A rejection carries a `Retry-After`, if the settings allow one ([`retry_after`]).

use super::retry::may_never_be_sent_again;
use crate::state::deployment::Context;
use crate::state::quota::CustomerAccount;
use crate::state::request::Request;
use crate::time::DurationExt;
use crate::types::RejectReason;
use std::time::Duration;

/// Interval between timers while requests are open; a small fraction of any latency objective.
pub(crate) const TIMER_PERIOD: Duration = Duration::from_millis(10);
/// How long before its deadline or half time a request gets its final answer, because the next
/// timer might fire too late.
pub(super) const FINAL_ANSWER_MARGIN: Duration = TIMER_PERIOD.saturating_mul(2);
/// Shortest `Retry-After`, as a fraction of the shortest latency objective.
const MIN_RETRY_AFTER_OBJECTIVE_FRACTION: f64 = 0.02;
/// Longest `Retry-After`, as a fraction of the shortest latency objective. It is short because all
/// requests of a customer compete for the units that are refilled.
const MAX_RETRY_AFTER_OBJECTIVE_FRACTION: f64 = 0.1;

/// Returns the reason for which an open request gets its final answer because of its age; `None` if
/// none is due.
///
/// A request gets its final answer at its deadline, or earlier in two cases: if it has not reached a
/// server by its half time, so that the client can still try another gateway; or if it is queued and
/// may never be sent again.
pub(crate) fn expiry(context: Context<'_>, request: &Request) -> Option<RejectReason> {
    let is_due = is_final_answer_due(context, request) || can_no_longer_be_sent(context, request);
    is_due.then(|| timeout_reason(context, request))
}

/// Returns whether the final answer is due: shortly before the deadline, or shortly before the half
/// time while no attempt is in flight or has reached a server.
fn is_final_answer_due(context: Context<'_>, request: &Request) -> bool {
    let is_unsent = !request.is_in_flight() && !request.has_reached_server();
    let answer_deadline = if is_unsent {
        request.half_time()
    } else {
        request.deadline()
    };
    context.now + FINAL_ANSWER_MARGIN >= answer_deadline
}

/// Returns whether a request has no attempt in flight and may never be sent again.
fn can_no_longer_be_sent(context: Context<'_>, request: &Request) -> bool {
    !request.is_in_flight() && may_never_be_sent_again(context, request)
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

/// Returns the `Retry-After` of a rejection; `None` if the settings allow none.
///
/// It is the time until the customer's account is likely to hold the units of the request, bounded
/// by fractions of the shortest latency objective and by the settings.
pub(crate) fn retry_after(
    context: Context<'_>,
    account: Option<&CustomerAccount>,
    request: &Request,
) -> Option<Duration> {
    let deployment = context.deployment;
    let max_retry_after = deployment.settings.permissions.max_retry_after?;
    let shortest_us = deployment.shortest_objective_us * MIN_RETRY_AFTER_OBJECTIVE_FRACTION;
    let longest_us = deployment.shortest_objective_us * MAX_RETRY_AFTER_OBJECTIVE_FRACTION;
    let available_in_us = match account {
        Some(account) => {
            account.time_until_available_us(deployment.plan_of(request), request.units())
        }
        None => shortest_us,
    };
    let retry_after = Duration::from_micros_f64(available_in_us.clamp(shortest_us, longest_us));
    Some(retry_after.min(max_retry_after))
}
