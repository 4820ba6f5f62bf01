//! The fleet mode: whether gateways share quotas by gossip, as a small fleet does, or by leases, as
//! a large one does. It is chosen once, when a gateway starts; the types whose rules differ between
//! the two are constructed for it.
//!
//! The rules, in the order in which they apply:
//! 1. The peers' intake of messages bounds how often each gateway may broadcast its usage
//!    ([`broadcast_interval`]).
//! 2. If that is often enough for the usage to be useful, or there is nobody to notify, the mode is
//!    gossip ([`mode_of`]).

use crate::settings::Settings;
use crate::state::deployment::FleetMode;
use crate::time::DurationExt;
use std::time::Duration;

/// One second, of which the intake of messages is a rate.
const SECOND: Duration = Duration::from_secs(1);
/// Fraction of a peer's message intake that the broadcasts of all gateways together may fill.
const BROADCAST_INTAKE_FRACTION: f64 = 0.7;
/// Interval between broadcasts from which on usage is known too late to share quotas by it.
const MIN_LEASES_BROADCAST_INTERVAL: Duration = Duration::from_millis(500);

/// The shortest interval between broadcasts of usage that the peers' intake allows; `None` if there
/// are no peers, or no messages are exchanged.
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

/// Chooses the mode of a fleet.
pub(crate) fn mode_of(settings: &Settings) -> FleetMode {
    match broadcast_interval(settings) {
        Some(interval) if interval >= MIN_LEASES_BROADCAST_INTERVAL => FleetMode::Leases,
        _ => FleetMode::Gossip,
    }
}

impl FleetMode {
    /// Whether gateways broadcast their usage to each other.
    pub(crate) fn broadcasts_usage(self) -> bool {
        self == FleetMode::Gossip
    }
}
