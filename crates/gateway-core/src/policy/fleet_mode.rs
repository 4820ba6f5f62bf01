//! When a fleet works by gossip and when by leases, and the figures that differ between them.

use crate::settings::Settings;
use crate::state::deployment::FleetMode;
use crate::state::server_view::Fading;

/// Share of a peer's message intake that the broadcasts of all gateways together may fill.
const INTAKE_SHARE: f64 = 0.7;
/// µs between broadcasts from which on they tell too little, so that quota owners grant leases instead.
const MAX_GOSSIP_INTERVAL: f64 = 500_000.0;
/// Weights of one gateway's sample in the fleet's means.
pub(crate) const LATENCY_RATIO_WEIGHT: f64 = 0.2;
pub(crate) const THROUGHPUT_WEIGHT: f64 = 0.05;

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
    /// Ready servers up to which all are walked; beyond, each choice looks at a sample.
    pub(crate) max_walked_servers: usize,
    /// How observations of servers fade. In a small fleet a wait that is ten times too long is over in 5 s;
    /// in a large one a gateway sees a server seldom. There reported loads count, too: latency tells of a
    /// queue only once it was waited out, and by then hundreds of gateways have sent more.
    pub(crate) fading: Fading,
    /// Weights of this gateway's own sample at a control tick in the means of latency ratios, attempts in
    /// flight and throughput. In a small fleet it is all there is; a gateway of a large one has mostly
    /// nothing in flight.
    pub(crate) latency_ratio_weight: f64,
    pub(crate) in_flight_weight: f64,
    pub(crate) throughput_weight: f64,
    /// Least failure rate that one stalled attempt proves: less where each gateway sees few.
    pub(crate) stall_failure_rate: f64,
    /// Of two in the middle of ascending values, whether the median is the lesser: of a pair of servers, one
    /// that stays unused then sets no mark for itself. Large fleets were not measured with that.
    pub(crate) lesser_median: bool,
}

const GOSSIP: ModeParameters = ModeParameters {
    max_walked_servers: usize::MAX,
    fading: Fading {
        wait_half_life: 1e6,
        load_half_life: None,
        min_warm_up_fraction: 0.1,
    },
    latency_ratio_weight: 1.0,
    in_flight_weight: 1.0,
    throughput_weight: 0.125,
    stall_failure_rate: 1.0,
    lesser_median: true,
};

const LEASES: ModeParameters = ModeParameters {
    max_walked_servers: 200,
    fading: Fading {
        wait_half_life: 5e6,
        load_half_life: Some(1.5e6),
        min_warm_up_fraction: 0.1,
    },
    latency_ratio_weight: LATENCY_RATIO_WEIGHT,
    in_flight_weight: 0.2,
    throughput_weight: THROUGHPUT_WEIGHT,
    stall_failure_rate: 0.5,
    lesser_median: false,
};

impl FleetMode {
    pub(crate) fn parameters(self) -> &'static ModeParameters {
        match self {
            FleetMode::Gossip => &GOSSIP,
            FleetMode::Leases => &LEASES,
        }
    }
}
