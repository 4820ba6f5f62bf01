//! What gateways tell each other, and how much one gateway's word counts.

use super::outlier_detection::MAX_FAILURE_RATE;
use crate::message::HealthReport;
use std::time::Duration;

/// Health reports in a message: of servers that fare badly, and of others.
const MAX_BAD_REPORTS: usize = 4;
const MAX_GOOD_REPORTS: usize = 2;
/// µs for which an observation is worth reporting.
pub(crate) const REPORT_LIFETIME: Duration = Duration::from_secs(4);
/// Weight of a health report at the recipient: it takes several, each newer, until one gateway's word ejects
/// a server.
pub(crate) const REPORT_WEIGHT: f64 = 0.4;
/// A server fares badly from this part of the ejection threshold on, and from so many median waits on.
const BAD_FAILURE_RATE_SHARE: f64 = 0.5;
const BAD_WAIT_FACTOR: f64 = 2.0;

/// The reports that ride on a message: some of the bad ones, and the newest of the others.
pub(crate) fn select_reports(
    reports: Vec<HealthReport>,
    median_wait: f64,
    random: &mut fastrand::Rng,
) -> Vec<HealthReport> {
    let is_bad = |report: &HealthReport| {
        report.failure_rate > MAX_FAILURE_RATE * BAD_FAILURE_RATE_SHARE
            || report.wait > BAD_WAIT_FACTOR * median_wait
    };
    let (mut selected, mut good): (Vec<_>, Vec<_>) = reports.into_iter().partition(is_bad);
    random.shuffle(&mut selected);
    selected.truncate(MAX_BAD_REPORTS);
    good.sort_by_key(|report| report.age);
    good.truncate(MAX_GOOD_REPORTS);
    selected.append(&mut good);
    selected
}
