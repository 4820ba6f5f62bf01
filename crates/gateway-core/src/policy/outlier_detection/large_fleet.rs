//! Outlier detection in a large fleet: each gateway sees a server seldom, receives health reports
//! on it from peers, and must not act in step with hundreds of other gateways.

use super::ejection::PROBE_INTERVAL;
use super::SERVER_LATENCY_WEIGHT;
use crate::settings::Settings;
use crate::state::servers::{ConnectBackoff, Server};
use crate::time::{DurationExt, Timestamp};
use std::time::Duration;

/// Minimum failure rate that one stalled attempt proves. It is lower than in a small fleet, because
/// each gateway sees few attempts.
pub(super) const STALL_FAILURE_RATE: f64 = 0.5;
/// Lower bound of the random factor on the interval between probes.
const MIN_PROBE_SPREAD: f64 = 0.5;
/// Minimum initial connect backoff, during which a server that accepted no connection receives no
/// attempts. A random addition makes it up to twice as long.
const CONNECT_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of times that the connect backoff is doubled after consecutive failures.
const MAX_CONNECT_DOUBLINGS: u32 = 4;

/// Outlier detection rules of a large fleet.
#[derive(Clone, Copy)]
pub(crate) struct LargeFleet {
    gateway_count: f64,
}

impl LargeFleet {
    /// Creates the rules for the fleet that `settings` describe.
    pub(super) fn new(settings: &Settings) -> Self {
        LargeFleet {
            gateway_count: f64::from(settings.gateway_count),
        }
    }

    /// Returns the time until this gateway's next probe of an ejected server: all gateways together
    /// probe as often as one gateway of a small fleet. `draw`, from 0 to 1, varies the time by up
    /// to half of it in either direction.
    pub(super) fn probe_interval(&self, draw: f64) -> Duration {
        let spread = MIN_PROBE_SPREAD + draw;
        let factor = self.gateway_count * spread;
        Duration::from_micros_f64(PROBE_INTERVAL.as_micros_f64() * factor)
    }
}

/// Returns the connect backoff of a server that accepted no connection. Without a backoff, all
/// gateways would send attempts to the server again and again.
pub(super) fn connect_backoff(random: &mut fastrand::Rng) -> ConnectBackoff {
    let spread = Duration::from_micros(random.u64(0..CONNECT_BACKOFF.whole_micros()));
    ConnectBackoff {
        initial: CONNECT_BACKOFF + spread,
        max_doublings: MAX_CONNECT_DOUBLINGS,
    }
}

/// Merges a sample into the estimate of a server's latency. Before the first sample, the estimate
/// is the fleet's median. The estimate is not decayed up to now before the merge, because peers'
/// reports keep it recent.
pub(super) fn observe_latency(server: &mut Server, now: Timestamp, sample_us: f64, median_us: f64) {
    server.observe_latency(now, sample_us, SERVER_LATENCY_WEIGHT, median_us);
}
