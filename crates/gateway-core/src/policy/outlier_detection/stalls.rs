//! Detection of stalled servers, which accept requests and answer none, or whose link is cut.

use crate::policy::deadlines::TIMER_PERIOD;
use crate::state::attempt::Attempt;
use crate::state::deployment::Context;
use crate::state::servers::Server;
use crate::time::{DurationExt, Timestamp};
use std::time::Duration;

/// Minimum age of a stalled attempt, as a multiple of the mean latency of all servers.
const MIN_STALLED_LATENCY_MULTIPLE: f64 = 4.0;
/// Minimum age of a stalled attempt whose client waits long enough. Sound servers and gateways may
/// pause for a part of this time.
const MIN_STALLED_AGE: Duration = Duration::from_millis(400);
/// Minimum number of equal parts of the client's timeout, of which a stalled attempt may use only one.
const MIN_ATTEMPTS_PER_TIMEOUT: u32 = 2;
/// Factor on the minimum age of a stalled attempt that is the only one in flight at its server.
const SOLE_ATTEMPT_AGE_FACTOR: f64 = 1.5;
/// Number of attempts in flight at a server below which an attempt is the only one there.
const MIN_CONCURRENT_ATTEMPTS: u32 = 2;
/// Delay of a timer beyond which this gateway itself counts as slow.
const MAX_TIMER_DELAY: Duration = TIMER_PERIOD.saturating_mul(5);

/// Returns whether a timer fires so late that this gateway itself is slow. Answers may then be
/// waiting unread at this gateway, so no server counts as stalled.
pub(crate) fn is_timer_late(now: Timestamp, due_at: Timestamp) -> bool {
    now > due_at + MAX_TIMER_DELAY
}

/// Returns whether the server of an attempt is stalled: it has answered nothing of the attempt's
/// class since the attempt was sent, and the attempt is older than [`min_stalled_age_us`].
pub(crate) fn is_stalled(context: Context<'_>, server: &Server, attempt: &Attempt) -> bool {
    let age_us = context.now.micros_since(attempt.sent_at);
    server.class_health(attempt.class).answered_at() < attempt.sent_at
        && age_us > min_stalled_age_us(context, server, attempt)
}

/// Returns the age in µs up to which an attempt is not stalled: the larger of
/// [`MIN_STALLED_LATENCY_MULTIPLE`] mean latencies and [`min_age`]. An attempt that is the only one
/// in flight at its server is given more time, because it may be a rare heavy request.
fn min_stalled_age_us(context: Context<'_>, server: &Server, attempt: &Attempt) -> f64 {
    let limit_us = min_age(context, attempt)
        .as_micros_f64()
        .max(context.fleet.mean_latency_us() * MIN_STALLED_LATENCY_MULTIPLE);
    if server.in_flight() < MIN_CONCURRENT_ATTEMPTS {
        limit_us * SOLE_ATTEMPT_AGE_FACTOR
    } else {
        limit_us
    }
}

/// Returns the minimum age of a stalled attempt, however fast the servers are: [`MIN_STALLED_AGE`],
/// or less if the client's timeout, divided by the attempts that the settings permit, is shorter, so
/// that the other attempts can still be made while the client waits.
fn min_age(context: Context<'_>, attempt: &Attempt) -> Duration {
    let permitted = context.deployment.settings.permissions.max_attempts;
    let part = attempt.client_timeout / permitted.max(MIN_ATTEMPTS_PER_TIMEOUT);
    part.min(MIN_STALLED_AGE)
}
