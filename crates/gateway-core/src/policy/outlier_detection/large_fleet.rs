//! Outlier detection in a large fleet: each gateway sees a server seldom, receives health reports
//! on it, and must not act in step with hundreds of others.

use super::ejection::PROBE_INTERVAL;
use super::SERVER_LATENCY_WEIGHT;
use crate::settings::Settings;
use crate::state::servers::{ConnectBackoff, Server};
use crate::time::{DurationExt, Timestamp};
use std::time::Duration;

/// Minimum failure rate that one stalled attempt proves: less than in a small fleet, as each
/// gateway sees few.
pub(super) const STALL_FAILURE_RATE: f64 = 0.5;
/// Minimum factor on the interval between probes.
const MIN_PROBE_SPREAD: f64 = 0.5;
/// Minimum time for which a server that took no connection is left alone; the maximum is twice
/// that, at first.
const CONNECT_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of times that the connect backoff doubles with consecutive failures.
const MAX_CONNECT_DOUBLINGS: u32 = 4;

/// Outlier detection of a large fleet.
#[derive(Clone, Copy)]
pub(crate) struct LargeFleet {
    /// Number of gateways in the fleet.
    gateway_count: f64,
}

impl LargeFleet {
    /// The design for the fleet in `settings`.
    pub(super) fn new(settings: &Settings) -> Self {
        LargeFleet {
            gateway_count: f64::from(settings.gateway_count),
        }
    }

    /// Time until this gateway's next probe of an ejected server: the probes of all gateways
    /// together come at the pace of one gateway's in a small fleet. `draw`, from 0 to 1, spreads
    /// them by half.
    pub(super) fn probe_interval(&self, draw: f64) -> Duration {
        let spread = MIN_PROBE_SPREAD + draw;
        let factor = self.gateway_count * spread;
        Duration::from_micros_f64(PROBE_INTERVAL.as_micros_f64() * factor)
    }
}

/// For how long a server that took no connection is left alone: all gateways would send to it again
/// and again.
pub(super) fn connect_backoff(random: &mut fastrand::Rng) -> ConnectBackoff {
    let spread = Duration::from_micros(random.u64(0..CONNECT_BACKOFF.whole_micros()));
    ConnectBackoff {
        initial: CONNECT_BACKOFF + spread,
        max_doublings: MAX_CONNECT_DOUBLINGS,
    }
}

/// Merges a sample of a server's latency; the fleet's median stands for the estimate while there is
/// none. Peers' reports keep the estimate recent, so it does not decay first.
pub(super) fn observe_latency(server: &mut Server, now: Timestamp, sample_us: f64, median_us: f64) {
    server.observe_latency(now, sample_us, SERVER_LATENCY_WEIGHT, median_us);
}
