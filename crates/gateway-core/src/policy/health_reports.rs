//! Health reports: which observations of servers a gateway sends to its peers, and with what weight
//! it merges a peer's report.
//!
//! 1. [`max_considered_observations`] bounds how many recent observations are considered.
//! 2. [`select_reports`] selects the reports that a message carries.
//! 3. [`is_recent`] decides whether a received report may still be merged.
//! 4. [`REPORT_WEIGHT`] is the weight with which a report enters the estimates of a server.

use super::outlier_detection::EJECTION_FAILURE_RATE;
use crate::message::HealthReport;
use std::time::Duration;

/// Maximum number of reports on unhealthy or slow servers in one message.
const MAX_UNHEALTHY_REPORTS: usize = 4;
/// Maximum number of reports on other servers in one message.
const MAX_HEALTHY_REPORTS: usize = 2;
/// Maximum number of observations from which reports are selected if not all servers are scanned.
const MAX_SAMPLED_OBSERVATIONS: usize = 10;
/// Maximum age of an observation that is sent to peers, or merged when it is received.
pub(crate) const REPORT_LIFETIME: Duration = Duration::from_secs(4);
/// Weight of one report in the recipient's means. A single peer has to send several reports, each
/// newer than the last, before they eject a server.
pub(crate) const REPORT_WEIGHT: f64 = 0.4;
/// Fraction of the ejection threshold above which a server is reported as unhealthy.
const UNHEALTHY_THRESHOLD_FRACTION: f64 = 0.5;
/// Ratio of a server's expected latency to the fleet's median above which it is reported as slow.
const SLOW_LATENCY_RATIO: f64 = 2.0;

/// Returns whether a report describes a server that is close to ejection, or slow compared with
/// `median_latency_us`.
fn reports_problem(report: &HealthReport, median_latency_us: f64) -> bool {
    report.failure_rate > EJECTION_FAILURE_RATE * UNHEALTHY_THRESHOLD_FRACTION
        || report.latency_us > SLOW_LATENCY_RATIO * median_latency_us
}

/// Selects the reports that a message carries: a random choice of those that report a problem, then
/// the newest of the others.
///
/// Problems are chosen at random so that all of them spread, even if more servers are unhealthy
/// than fit into one message. `median_latency_us` is the fleet's median expected latency per
/// concurrent request.
pub(crate) fn select_reports(
    reports: Vec<HealthReport>,
    median_latency_us: f64,
    random: &mut fastrand::Rng,
) -> Vec<HealthReport> {
    let (mut selected, healthy): (Vec<_>, Vec<_>) = reports
        .into_iter()
        .partition(|report| reports_problem(report, median_latency_us));
    random.shuffle(&mut selected);
    selected.truncate(MAX_UNHEALTHY_REPORTS);
    append_newest(&mut selected, healthy, MAX_HEALTHY_REPORTS);
    selected
}

/// Appends the newest of `reports`, at most `count`. Of several reports of the same age, the first
/// in `reports` is appended first.
fn append_newest(selected: &mut Vec<HealthReport>, mut reports: Vec<HealthReport>, count: usize) {
    for _ in 0..count {
        let Some(index) = index_of_newest(&reports) else {
            return;
        };
        selected.push(reports.remove(index));
    }
}

fn index_of_newest(reports: &[HealthReport]) -> Option<usize> {
    let by_age = reports
        .iter()
        .enumerate()
        .min_by_key(|(_, report)| report.age);
    by_age.map(|(index, _)| index)
}

/// Returns the maximum number of recent observations from which reports are selected: all of them
/// if all servers are scanned, otherwise only the newest.
pub(crate) fn max_considered_observations(scans_all_servers: bool) -> usize {
    if scans_all_servers {
        usize::MAX
    } else {
        MAX_SAMPLED_OBSERVATIONS
    }
}

/// Returns whether a received report describes an observation that is recent enough to be merged.
pub(crate) fn is_recent(report: &HealthReport) -> bool {
    report.age < REPORT_LIFETIME
}
