//! Outlier detection: what attempts tell of a server, when it is ejected for a class, and when probed again.

use super::deadlines::TIMER_PERIOD;
use crate::state::attempt::Attempt;
use crate::state::deployment::{Context, Deployment, FleetMode};
use crate::state::server::{ConnectBackoff, Server};
use crate::time::{DurationExt, Timestamp};
use crate::types::{AttemptOutcome, ClassId};
use std::time::Duration;

/// Failure rate from which on a server is ejected, unless the fleet's is half as bad ...
pub(super) const MAX_FAILURE_RATE: f64 = 0.35;
const MIN_FLEET_FACTOR: f64 = 2.0;
/// ... and the part of it under which it is taken back.
const READMISSION_SHARE: f64 = 0.5;
/// µs between probes of an ejected server, spread by half.
const PROBE_INTERVAL: f64 = 700_000.0;
/// Factor on the failure rate of an ejected server whose probe was answered.
const PROBE_SUCCESS_FACTOR: f64 = 0.5;
/// An attempt is stalled once it is so many times older than the fleet's mean latency, and than this share of
/// its latency objective; one that is alone on its server may be a rare heavy request, and gets more time.
const STALLED_LATENCIES: f64 = 4.0;
const STALLED_OBJECTIVES: f64 = 0.5;
const ALONE_FACTOR: f64 = 1.5;
/// µs by which a timer may be late before this gateway itself is what is slow.
const MAX_TIMER_LAG: Duration = TIMER_PERIOD.saturating_mul(5);
/// µs without use or news after which a server is not tracked any more, where not all are.
pub(crate) const MAX_SERVER_IDLE: Duration = Duration::from_secs(20);
/// Weights of a sample in a server's wait, in its failure rate, and in the mean latency of all servers.
const WAIT_WEIGHT: f64 = 0.15;
pub(crate) const FAILURE_WEIGHT: f64 = 0.2;
pub(crate) const LATENCY_WEIGHT: f64 = 0.02;
/// Least latency that a failed attempt counts with, as a share of the shortest latency objective.
const FAILED_ATTEMPT_SHARE: f64 = 0.5;
/// Part of the failure weight that counts for the server's other classes: one class may fail alone.
pub(crate) const OTHER_CLASS_SHARE: f64 = 0.25;
/// Weight of an attempt in whether its zone can be reached.
pub(crate) const ZONE_WEIGHT: f64 = 0.2;
/// µs for which a server that took no connection is left alone, spread up to twice that, and its doublings.
const CONNECT_BACKOFF: Duration = Duration::from_millis(500);
const MAX_CONNECT_DOUBLINGS: u32 = 4;

/// µs until the next probe of an ejected server: in a large fleet, the pace of all gateways' probes together.
pub(crate) fn probe_interval(deployment: &Deployment, random: &mut fastrand::Rng) -> Duration {
    let spread = 0.5 + random.f64();
    let factor = match deployment.mode {
        FleetMode::Gossip => 1.0,
        FleetMode::Leases => f64::from(deployment.settings.gateway_count) * spread,
    };
    Duration::from_micros_f64(PROBE_INTERVAL * factor)
}

/// Ejects a server for a class, or takes it back. `fleet_rate`: mean failure rate of all servers.
pub(crate) fn update_ejection(
    server: &mut Server,
    class: ClassId,
    fleet_rate: f64,
    next_probe_at: Timestamp,
) {
    let health = &mut server.health[class.0];
    if health.failure_rate > MAX_FAILURE_RATE.max(MIN_FLEET_FACTOR * fleet_rate) {
        health.next_probe_at = health.next_probe_at.or(Some(next_probe_at));
    } else if health.failure_rate < MAX_FAILURE_RATE * READMISSION_SHARE {
        health.next_probe_at = None;
    }
}

/// An attempt that was given up, but not as stalled, is no failure of a server that has answered another one
/// since.
pub(crate) fn is_failure(
    server: &Server,
    attempt: &Attempt,
    outcome: AttemptOutcome,
    was_stalled: bool,
) -> bool {
    let answered_since =
        server.health[attempt.class.0].answered_at > attempt.sent_at && !was_stalled;
    match outcome {
        AttemptOutcome::Success => false,
        AttemptOutcome::Cancelled | AttemptOutcome::TimedOut => !answered_since,
        _ => true,
    }
}

/// For how long a server that takes no connection is left alone: a large fleet would send again and again.
pub(crate) fn connect_backoff(
    mode: FleetMode,
    random: &mut fastrand::Rng,
) -> Option<ConnectBackoff> {
    if mode == FleetMode::Gossip {
        return None;
    }
    let first =
        CONNECT_BACKOFF + Duration::from_micros(random.u64(0..CONNECT_BACKOFF.whole_micros()));
    Some(ConnectBackoff {
        first,
        max_doublings: MAX_CONNECT_DOUBLINGS,
    })
}

/// Whether an attempt tells of its server's zone: the links of a whole zone that are cut would be found
/// server by server. A probe of an ejected server tells nothing, as a machine that hangs takes no connection
/// either.
pub(crate) fn tells_of_zone(server: &Server, class: ClassId, unreachable: bool) -> bool {
    !unreachable || !server.health[class.0].is_ejected()
}

/// The latency that an attempt counts with.
pub(crate) fn counted_latency(deployment: &Deployment, latency: f64, failed: bool) -> f64 {
    let least = if failed {
        deployment.shortest_objective_us * FAILED_ATTEMPT_SHARE
    } else {
        0.0
    };
    latency.max(least)
}

/// After a jam, a sample must not bring back the old wait whole, or the server stays unused; in a large fleet
/// gossip keeps waits young.
pub(crate) fn observe_wait(server: &mut Server, context: Context<'_>, sample: f64) {
    let now = context.now;
    let mode = context.deployment.mode;
    let median_wait = context.fleet.median_wait;
    match mode {
        FleetMode::Gossip => {
            server.fade_wait(now, median_wait, mode.parameters().fading.wait_half_life);
            server.observe_wait(now, sample, WAIT_WEIGHT, sample);
        }
        FleetMode::Leases => server.observe_wait(now, sample, WAIT_WEIGHT, median_wait),
    }
}

/// A probe that was answered is followed by the next at once, until the server is taken back.
pub(crate) fn observe_answer(server: &mut Server, now: Timestamp, class: ClassId) {
    server.answered_at = now;
    let health = &mut server.health[class.0];
    health.answered_at = now;
    if health.is_ejected() {
        health.failure_rate *= PROBE_SUCCESS_FACTOR;
        let stays_ejected = health.failure_rate >= MAX_FAILURE_RATE * READMISSION_SHARE;
        health.next_probe_at = stays_ejected.then_some(now);
    }
}

/// Whether a timer comes so late that this gateway itself is slow: answers may lie unread here, and no server
/// is to blame.
pub(crate) fn is_late_timer(now: Timestamp, wake_at: Timestamp) -> bool {
    now > wake_at + MAX_TIMER_LAG
}

/// Whether a server takes work and answers none, or its link is cut: an attempt is far older than the fleet's
/// latency, and nothing was answered since. A rare heavy request that is alone on its server may so run again
/// elsewhere.
pub(crate) fn is_stalled(context: Context<'_>, server: &Server, attempt: &Attempt) -> bool {
    let objective = context.deployment.settings.classes[attempt.class.0]
        .latency_objective
        .as_micros_f64();
    let limit =
        (objective * STALLED_OBJECTIVES).max(context.fleet.mean_latency * STALLED_LATENCIES);
    let factor = if server.in_flight < 2 {
        ALONE_FACTOR
    } else {
        1.0
    };
    let age = context.now.micros_since(attempt.sent_at);
    server.health[attempt.class.0].answered_at < attempt.sent_at && age > limit * factor
}

/// Ejects a server for the class of a stalled attempt; for all classes, if it has answered nothing since.
pub(crate) fn eject_stalled(
    server: &mut Server,
    class: ClassId,
    sent_at: Timestamp,
    mode: FleetMode,
    next_probe_at: Timestamp,
) {
    let proved = mode.parameters().stall_failure_rate;
    let answers_nothing = server.answered_at < sent_at;
    for (other, health) in server.health.iter_mut().enumerate() {
        if other == class.0 || answers_nothing {
            health.failure_rate = health.failure_rate.max(proved);
            health.next_probe_at = Some(next_probe_at);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/outlier_detection.rs"]
mod tests;
