//! When a server is ejected for a class, probed and readmitted.

use crate::state::servers::{ClassHealth, Server};
use crate::time::Timestamp;
use crate::types::ClassId;
use std::time::Duration;

/// Failure rate above which a server is ejected.
pub(in crate::policy) const EJECTION_FAILURE_RATE: f64 = 0.35;
/// A server is ejected only if its failure rate also exceeds this multiple of the fleet's mean.
const MIN_RATIO_TO_FLEET: f64 = 2.0;
/// Fraction of [`EJECTION_FAILURE_RATE`] below which a server is readmitted.
const READMISSION_FRACTION: f64 = 0.5;
/// Time between probes of an ejected server.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// Factor on the failure rate of an ejected server for each answered probe.
const PROBE_SUCCESS_FACTOR: f64 = 0.5;

/// Ejects a server for a class, or readmits it, by its failure rate and `fleet_failure_rate`, the
/// mean over all servers. The probe of a server that is ejected already is not put off.
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

/// Whether the failure rate is so low that an ejected server is readmitted.
fn may_be_readmitted(health: &ClassHealth) -> bool {
    health.failure_rate() < EJECTION_FAILURE_RATE * READMISSION_FRACTION
}

/// Records that a server answered. An answer of an ejected server reduces its failure rate; until
/// that readmits it, the next probe follows immediately.
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

/// Ejects a server for the class of a stalled attempt; for all classes, if it has answered nothing
/// since the attempt was sent. `stall_failure_rate`: the minimum failure rate that this proves.
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
