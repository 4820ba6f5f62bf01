//! When a fleet works by gossip and when by leases, and the figures that differ between them.

use crate::settings::Settings;
use crate::state::deployment::FleetMode;

/// Share of a peer's message intake that the broadcasts of all gateways together may fill.
const INTAKE_SHARE: f64 = 0.7;
/// µs between broadcasts from which on they tell too little, so that quota owners grant leases instead.
const MAX_GOSSIP_INTERVAL: f64 = 500_000.0;
/// Weight of one gateway's latency ratio in the fleet's mean.
pub(crate) const LATENCY_RATIO_WEIGHT: f64 = 0.2;

/// µs between broadcasts of usage that the peers' intake allows: 0 without peers, infinite without messages.
pub(crate) fn gossip_interval(settings: &Settings) -> f64 {
    let intake = if settings.permissions.peer_messages {
        settings.peer_messages_per_second * INTAKE_SHARE
    } else {
        0.0
    };
    1e6 * f64::from(settings.gateway_count.saturating_sub(1)) / intake
}

/// The mode of a fleet.
pub(crate) fn mode_of(settings: &Settings) -> FleetMode {
    if (MAX_GOSSIP_INTERVAL..f64::INFINITY).contains(&gossip_interval(settings)) {
        FleetMode::Leases
    } else {
        FleetMode::Gossip
    }
}

/// Figures that differ between the modes.
pub(crate) struct ModeParameters {
    /// Weights of this gateway's own sample at a control tick in the means of latency ratios and attempts
    /// in flight. In a small fleet it is all there is; a gateway of a large one has mostly
    /// nothing in flight.
    pub(crate) latency_ratio_weight: f64,
    pub(crate) in_flight_weight: f64,
}

const GOSSIP: ModeParameters = ModeParameters {
    latency_ratio_weight: 1.0,
    in_flight_weight: 1.0,
};

const LEASES: ModeParameters = ModeParameters {
    latency_ratio_weight: LATENCY_RATIO_WEIGHT,
    in_flight_weight: 0.2,
};

impl FleetMode {
    pub(crate) fn parameters(self) -> &'static ModeParameters {
        match self {
            FleetMode::Gossip => &GOSSIP,
            FleetMode::Leases => &LEASES,
        }
    }
}
