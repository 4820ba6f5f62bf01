//! When a server is ejected for a class, probed and readmitted.

use crate::state::servers::{ClassHealth, Server};
use crate::time::Timestamp;
use crate::types::ClassId;
use std::time::Duration;

/// Failure rate above which a server is ejected.
pub(in crate::policy) const EJECTION_FAILURE_RATE: f64 = 0.35;
/// Multiple of the fleet's mean failure rate that a server's failure rate must also exceed for the
/// server to be ejected.
const MIN_RATIO_TO_FLEET: f64 = 2.0;
/// Fraction of [`EJECTION_FAILURE_RATE`] below which a server is readmitted.
const READMISSION_FRACTION: f64 = 0.5;
/// Time between probes of an ejected server.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// Factor by which each answered probe reduces the failure rate of an ejected server.
const PROBE_SUCCESS_FACTOR: f64 = 0.5;

/// Ejects a server for a class, or readmits it, according to its failure rate.
///
/// `fleet_failure_rate` is the mean over all servers. The next probe of a server that is already
/// ejected is not postponed.
pub(crate) fn update_ejection(
    server: &mut Server,
    class: ClassId,
    fleet_failure_rate: f64,
    next_probe_at: Timestamp,
) {
    let health = server.class_health_mut(class);
    let threshold = EJECTION_FAILURE_RATE.max(MIN_RATIO_TO_FLEET * fleet_failure_rate);
    if health.failure_rate() > threshold {
        health.eject(next_probe_at);
    } else if may_be_readmitted(health) {
        health.readmit();
    }
}

/// Returns whether the failure rate is low enough for an ejected server to be readmitted.
fn may_be_readmitted(health: &ClassHealth) -> bool {
    health.failure_rate() < EJECTION_FAILURE_RATE * READMISSION_FRACTION
}

/// Records that a server has answered. An answer from an ejected server reduces its failure rate:
/// the server is readmitted if the rate is low enough, otherwise its next probe is due immediately.
pub(crate) fn observe_answer(server: &mut Server, now: Timestamp, class: ClassId) {
    server.record_answer(now, class);
    let health = server.class_health_mut(class);
    if !health.is_ejected() {
        return;
    }
    health.scale_failure_rate(PROBE_SUCCESS_FACTOR);
    if may_be_readmitted(health) {
        health.readmit();
    } else {
        health.schedule_probe(now);
    }
}

/// Ejects a server for the class of a stalled attempt, or for all classes if the server has
/// answered nothing since the attempt was sent. `stall_failure_rate` is the minimum failure rate
/// that the stall proves.
pub(crate) fn eject_stalled(
    server: &mut Server,
    class: ClassId,
    sent_at: Timestamp,
    stall_failure_rate: f64,
    next_probe_at: Timestamp,
) {
    let has_answered_since = server.answered_at() >= sent_at;
    for (other, health) in server.iter_health_mut() {
        if other == class || !has_answered_since {
            health.raise_failure_rate(stall_failure_rate);
            health.schedule_probe(next_probe_at);
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/outlier_detection.rs"]
mod tests;
