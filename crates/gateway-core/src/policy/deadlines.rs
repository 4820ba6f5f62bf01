//! Requests whose time is running out.

use crate::state::deployment::{Context, FleetMode};
use crate::state::request::Request;
use crate::state::token_bucket::TokenBucket;
use crate::time::DurationExt;
use crate::types::{AttemptNumber, RejectReason};
use std::time::Duration;

/// µs between timers while requests are open, well under the latency objectives.
pub(crate) const TIMER_PERIOD: Duration = Duration::from_millis(10);
/// µs before its deadline that a client is answered, as the next timer might come too late.
pub(super) const FINAL_ANSWER_MARGIN: Duration = TIMER_PERIOD.saturating_mul(2);
/// The shortest and the longest `Retry-After`, as shares of the shortest latency objective: all requests of a
/// customer share what is refilled.
const MIN_RETRY_AFTER: f64 = 0.02;
const MAX_RETRY_AFTER: f64 = 0.1;

pub(crate) enum Expiry {
    FinalAnswer(RejectReason),
    CancelAttempt(AttemptNumber),
}

/// What is to be done about a request because of its age. Two exceptions to the design, which refuses at the
/// deadline: a client that hears by half of its time that nothing was sent can still try elsewhere; and where
/// a late answer earns nothing, there is nothing to wait for.
pub(crate) fn expiry(context: Context<'_>, request: &Request) -> Option<Expiry> {
    let now = context.now;
    let class = context.deployment.class_of(request);
    let unsent = request.in_flight.is_none() && !request.reached_server;
    let answer_by = if unsent {
        request.half_time()
    } else {
        request.deadline
    };
    if now + FINAL_ANSWER_MARGIN >= answer_by {
        return Some(Expiry::FinalAnswer(reason(context, request)));
    }
    if class.late_weight > 0.0 {
        return None;
    }
    let objective_at = request.arrived_at + class.latency_objective;
    let answer_takes = context.fleet.mean_latency_us() / 2.0;
    let too_late =
        now < objective_at && now.as_micros_f64() + answer_takes > objective_at.as_micros_f64();
    if request.in_flight.is_none() && too_late {
        return Some(Expiry::FinalAnswer(reason(context, request)));
    }
    // Otherwise servers would be busy with answers that earn nothing any more.
    let may_cancel = !request.cancelled && context.deployment.settings.permissions.cancel_attempts;
    let attempt = request
        .in_flight
        .filter(|_| now > objective_at && may_cancel);
    attempt.map(Expiry::CancelAttempt)
}

fn reason(context: Context<'_>, request: &Request) -> RejectReason {
    if request.attempts > 0 {
        return RejectReason::RetriesExhausted;
    }
    match context.deployment.mode {
        FleetMode::Leases if request.quota.grant.is_none() => RejectReason::QuotaTimeout,
        _ => RejectReason::QueueTimeout,
    }
}

/// When a rejected client may retry, in µs: once its bucket is likely to hold what it asks for.
pub(crate) fn retry_after(
    context: Context<'_>,
    bucket: Option<&TokenBucket>,
    request: &Request,
) -> Option<Duration> {
    let deployment = context.deployment;
    let max_retry_after = deployment.settings.permissions.max_retry_after?;
    let shortest = deployment.shortest_objective * MIN_RETRY_AFTER;
    let longest = deployment.shortest_objective * MAX_RETRY_AFTER;
    let available = match bucket {
        Some(bucket) => bucket.time_until_available(deployment.plan_of(request), request.units),
        None => shortest,
    };
    Some(Duration::from_micros_f64(available.clamp(shortest, longest)).min(max_retry_after))
}
