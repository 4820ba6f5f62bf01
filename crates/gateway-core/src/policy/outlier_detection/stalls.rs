//! When a server counts as stalled: it accepts requests and answers none, or its link is cut.

use crate::policy::deadlines::TIMER_PERIOD;
use crate::state::attempt::Attempt;
use crate::state::deployment::Context;
use crate::state::servers::Server;
use crate::time::{DurationExt, Timestamp};
use std::time::Duration;

/// Minimum age of a stalled attempt, as a ratio to the mean latency of all servers.
const MIN_LATENCY_RATIO: f64 = 4.0;
/// Minimum age of a stalled attempt, as a fraction of its latency objective.
const MIN_OBJECTIVE_FRACTION: f64 = 0.5;
/// Factor on the minimum age of an attempt that is alone on its server.
const ALONE_FACTOR: f64 = 1.5;
/// Number of attempts in flight from which on none of them is alone on its server.
const MIN_CONCURRENT_ATTEMPTS: u32 = 2;
/// Delay of a timer beyond which this gateway itself is slow.
const MAX_TIMER_DELAY: Duration = TIMER_PERIOD.saturating_mul(5);

/// Whether a timer fires so late that this gateway itself is slow. Then answers may lie unread
/// here, and no server counts as stalled.
pub(crate) fn is_timer_late(now: Timestamp, due_at: Timestamp) -> bool {
    now > due_at + MAX_TIMER_DELAY
}

/// Whether the server of an attempt is stalled: it has answered nothing of the attempt's class
/// since the attempt was sent, and the attempt is older than [`min_stalled_age_us`].
pub(crate) fn is_stalled(context: Context<'_>, server: &Server, attempt: &Attempt) -> bool {
    let age_us = context.now.micros_since(attempt.sent_at);
    server.class_health(attempt.class).answered_at() < attempt.sent_at
        && age_us > min_stalled_age_us(context, server, attempt)
}

/// Age in µs up to which an attempt is not stalled: the larger of [`MIN_LATENCY_RATIO`] mean
/// latencies and [`MIN_OBJECTIVE_FRACTION`] of its objective. An attempt that is alone on its
/// server may be a rare heavy request, and is given more time.
fn min_stalled_age_us(context: Context<'_>, server: &Server, attempt: &Attempt) -> f64 {
    let class = &context.deployment.settings.classes[attempt.class.0];
    let objective_us = class.latency_objective.as_micros_f64();
    let limit_us = (objective_us * MIN_OBJECTIVE_FRACTION)
        .max(context.fleet.mean_latency_us() * MIN_LATENCY_RATIO);
    if server.in_flight() < MIN_CONCURRENT_ATTEMPTS {
        limit_us * ALONE_FACTOR
    } else {
        limit_us
    }
}
