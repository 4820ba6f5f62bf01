//! The fleet mode: whether gateways share quotas by gossip, as in a small fleet, or by leases, as
//! in a large fleet. The mode is chosen once, when a gateway starts; types whose rules depend on
//! the mode are constructed for it.
//!
//! The rules, in the order in which they apply:
//! 1. The peers' message intake bounds how often each gateway may broadcast its usage
//!    ([`broadcast_interval`]).
//! 2. If that is often enough for the usage to be useful, or there are no peers to notify, the mode
//!    is gossip ([`mode_of`]).

use crate::settings::Settings;
use crate::state::deployment::FleetMode;
use crate::time::DurationExt;
use std::time::Duration;

/// Time unit of the message intake, which is given in messages per second.
const SECOND: Duration = Duration::from_secs(1);
/// Fraction of a peer's message intake that the broadcasts of all gateways together may use.
const BROADCAST_INTAKE_FRACTION: f64 = 0.7;
/// Shortest interval between broadcasts at which a fleet uses leases, because its gateways would
/// learn of usage too late to share quotas by gossip.
const MIN_LEASES_BROADCAST_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the shortest interval between broadcasts of usage that the peers' message intake allows;
/// `None` if there are no peers or the settings allow no messages between gateways.
pub(crate) fn broadcast_interval(settings: &Settings) -> Option<Duration> {
    let peers = f64::from(settings.gateway_count.saturating_sub(1));
    let intake_per_second = if settings.permissions.peer_messages {
        settings.peer_messages_per_second * BROADCAST_INTAKE_FRACTION
    } else {
        0.0
    };
    let interval_us = SECOND.as_micros_f64() * peers / intake_per_second;
    let is_possible = interval_us > 0.0 && interval_us.is_finite();
    is_possible.then(|| Duration::from_micros_f64(interval_us))
}

/// Chooses the mode of a fleet by the interval between broadcasts that its settings allow.
pub(crate) fn mode_of(settings: &Settings) -> FleetMode {
    match broadcast_interval(settings) {
        Some(interval) if interval >= MIN_LEASES_BROADCAST_INTERVAL => FleetMode::Leases,
        _ => FleetMode::Gossip,
    }
}

impl FleetMode {
    /// Returns whether gateways broadcast their usage to each other.
    pub(crate) fn broadcasts_usage(self) -> bool {
        self == FleetMode::Gossip
    }
}
