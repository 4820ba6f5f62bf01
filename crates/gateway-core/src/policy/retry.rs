//! Retries: which attempts and rejections are safe for a request that may already have been
//! executed, and what follows a failed attempt.
//!
//! The rules, in the order in which they apply:
//! 1. A stalled attempt is cancelled only if its request could be retried ([`may_cancel_stalled`]).
//! 2. After a failed attempt, the request is retried or gets its final answer ([`decide`]).
//! 3. Every attempt has to pass [`may_send`], so that no request is executed twice unless its
//!    idempotency allows it; [`required_scope`] restricts the choice of servers accordingly.
//!    [`write_deadline`] limits the time until the attempt is written, because a connection may
//!    have to be established first.
//! 4. Every rejection has to pass [`may_reject`], because it promises the client that a retry is
//!    safe.

use super::deadlines::is_too_late_for_attempt;
use super::retry_budget::RetryBudget;
use crate::settings::{DeduplicationScope, Idempotency};
use crate::state::deployment::{Context, Deployment};
use crate::state::request::{PossibleExecution, Request};
use crate::time::Timestamp;
use crate::types::{AttemptOutcome, Endpoint};

/// What the earlier attempts of a request permit of a further execution.
enum Repetition<'a> {
    /// The request cannot have been executed, or may be executed again.
    Unrestricted,
    /// The request may have been executed, and only servers that recognise its idempotency key do
    /// not execute it again.
    Deduplicated {
        /// The first attempt that may have been executed.
        executed: &'a PossibleExecution,
        /// The servers that recognise the key.
        scope: DeduplicationScope,
        /// When the servers forget the key: one window after `executed` was sent.
        forgotten_at: Timestamp,
    },
    /// The request may have been executed, and must not be executed again.
    Forbidden,
}

impl<'a> Repetition<'a> {
    fn of(deployment: &Deployment, request: &'a Request) -> Self {
        let Some(executed) = request.possible_execution() else {
            return Repetition::Unrestricted;
        };
        match deployment.class_of(request).idempotency {
            Idempotency::Idempotent => Repetition::Unrestricted,
            Idempotency::NonIdempotent => Repetition::Forbidden,
            Idempotency::Keyed { scope, window } => Repetition::Deduplicated {
                executed,
                scope,
                forgotten_at: executed.sent_at + window,
            },
        }
    }
}

/// Returns whether an attempt at `endpoint` may be sent without an unsafe second execution of the
/// request.
///
/// At most one attempt of a request is in flight. If an earlier attempt may have been executed, a
/// request with an idempotency key may be sent only to servers that still recognise the key.
pub(crate) fn may_send(
    deployment: &Deployment,
    request: &Request,
    now: Timestamp,
    endpoint: &Endpoint,
) -> bool {
    if request.is_in_flight() {
        return false;
    }
    match Repetition::of(deployment, request) {
        Repetition::Unrestricted => true,
        Repetition::Deduplicated {
            executed,
            scope,
            forgotten_at,
        } => now <= forgotten_at && scope.covers(&executed.endpoint, endpoint),
        Repetition::Forbidden => false,
    }
}

/// Returns the latest time at which the next attempt of a request may be written to a server;
/// `None` without such a limit.
///
/// An attempt that reaches a server after the key has been forgotten is executed as a new request.
pub(crate) fn write_deadline(deployment: &Deployment, request: &Request) -> Option<Timestamp> {
    match Repetition::of(deployment, request) {
        Repetition::Deduplicated { forgotten_at, .. } => Some(forgotten_at),
        Repetition::Unrestricted | Repetition::Forbidden => None,
    }
}

/// Returns whether a request may be rejected, which promises its client that a retry at `retry_at`
/// is safe; if not, the request fails.
///
/// After a possible execution, the client's retry may arrive at any server, so an idempotency key
/// helps only if all servers recognise it, and still do so at `retry_at`.
pub(crate) fn may_reject(deployment: &Deployment, request: &Request, retry_at: Timestamp) -> bool {
    if request.is_in_flight() {
        return false;
    }
    match Repetition::of(deployment, request) {
        Repetition::Unrestricted => true,
        Repetition::Deduplicated {
            scope,
            forgotten_at,
            ..
        } => scope == DeduplicationScope::AllServers && retry_at <= forgotten_at,
        Repetition::Forbidden => false,
    }
}

/// Returns the scope within which a keyed request has to stay once it may have been executed;
/// `None` without such a restriction.
pub(super) fn required_scope(
    deployment: &Deployment,
    request: &Request,
) -> Option<DeduplicationScope> {
    match Repetition::of(deployment, request) {
        Repetition::Deduplicated { scope, .. } => Some(scope),
        Repetition::Unrestricted | Repetition::Forbidden => None,
    }
}

/// Returns whether no attempt of the request may be sent any more, whatever servers are listed: it
/// may have been executed, and is not idempotent or its idempotency key has been forgotten.
pub(super) fn may_never_be_sent_again(context: Context<'_>, request: &Request) -> bool {
    match Repetition::of(context.deployment, request) {
        Repetition::Unrestricted => false,
        Repetition::Deduplicated { forgotten_at, .. } => context.now > forgotten_at,
        Repetition::Forbidden => true,
    }
}

/// Decision on a request after a failed attempt.
pub(crate) enum RetryDecision {
    /// The request is queued again, and the retry budget is charged.
    Retry,
    /// No retry is possible or allowed: the client gets its final answer.
    GiveUp,
}

/// Decides what follows a failed attempt, which ended with `outcome` while its request stays open.
///
/// The request is retried as long as the time that its client has left suffices for an attempt and a
/// retry is possible. Otherwise its client is told at once, so that it can use the rest of its time.
pub(crate) fn decide(
    context: Context<'_>,
    request: &Request,
    outcome: AttemptOutcome,
    budget: &RetryBudget,
) -> RetryDecision {
    let deployment = context.deployment;
    if is_too_late_for_attempt(context, request)
        || !has_attempt_left(deployment, request)
        || !budget.covers(outcome)
        || may_never_be_sent_again(context, request)
    {
        RetryDecision::GiveUp
    } else {
        RetryDecision::Retry
    }
}

/// Returns whether a stalled attempt that was sent at `sent_at` may be cancelled: only if its
/// request can be retried afterwards, in the time that its client has left. Otherwise the client
/// would only lose the answer that may still come.
pub(crate) fn may_cancel_stalled(
    context: Context<'_>,
    request: &Request,
    sent_at: Timestamp,
    budget: &RetryBudget,
) -> bool {
    let deployment = context.deployment;
    let may_cancel =
        deployment.settings.permissions.cancel_attempts && request.cancellable_attempt().is_some();
    may_cancel
        && !is_too_late_for_attempt(context, request)
        && may_be_sent_after(context, request, sent_at)
        && has_attempt_left(deployment, request)
        && budget.has_retry()
}

/// Returns whether a request could be sent again if its attempt in flight, which was sent at
/// `sent_at`, ended now and may have been executed.
fn may_be_sent_after(context: Context<'_>, request: &Request, sent_at: Timestamp) -> bool {
    let earlier = request.possible_execution();
    let executed_at = earlier.map_or(sent_at, |executed| executed.sent_at);
    match context.deployment.class_of(request).idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { window, .. } => context.now <= executed_at + window,
    }
}

fn has_attempt_left(deployment: &Deployment, request: &Request) -> bool {
    request.attempt_count() < deployment.settings.permissions.max_attempts
}
