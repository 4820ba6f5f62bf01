//! Outlier detection in a small fleet: each gateway sees every server often enough to judge it on
//! its own.

use super::SERVER_LATENCY_WEIGHT;
use crate::state::servers::Server;
use crate::time::Timestamp;

/// Minimum failure rate that one stalled attempt proves.
pub(super) const STALL_FAILURE_RATE: f64 = 1.0;
/// Half-life in µs with which the estimate of a server's latency decays to the fleet's median.
pub(in crate::policy) const SMALL_FLEET_LATENCY_HALF_LIFE_US: f64 = 1e6;

/// Merges a sample into the estimate of a server's latency, which is first decayed up to now.
/// Otherwise, after an overload, the sample would restart the decay of the old estimate from its
/// full value, and the server would stay unused.
pub(super) fn observe_latency(server: &mut Server, now: Timestamp, sample_us: f64, median_us: f64) {
    server.decay_latency(now, median_us, SMALL_FLEET_LATENCY_HALF_LIFE_US);
    server.observe_latency(now, sample_us, SERVER_LATENCY_WEIGHT, sample_us);
}
