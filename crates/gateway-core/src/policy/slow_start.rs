//! Slow start: a server that has just started collapses under what a warm one bears. Gateways earn attempts
//! to it, a share of what warm servers are seen to do; what falls below one a tick is a chance, and many
//! gateways save nothing up.

use super::load_balancing::subset_size;
use crate::state::deployment::{Context, FleetMode};
use crate::state::server::Server;
use crate::time::DurationExt;
use std::time::Duration;

/// Attempts a second that all gateways together send to a cold server while no warm one tells more.
const BLIND_RATE: f64 = 1.5;
/// Attempts to it that one gateway may save up, and for how many gateways that is safe.
const MAX_CREDIT: f64 = 1.5;
const MAX_SAVING_GATEWAYS: f64 = 6.0;
/// Part of the overload multiple that is used, of what warm servers are seen to do.
const OVERLOAD_SHARE: f64 = 0.4;

/// What this gateway earns over a control tick.
pub(crate) struct SlowStart {
    /// Attempts at a server with all of its capacity.
    earned: f64,
    /// The share of saved credit that is kept.
    kept: f64,
}

impl SlowStart {
    /// `warm` of the `ready` servers are warm; `tick`: µs of a control tick.
    pub(crate) fn new(context: Context<'_>, warm: usize, ready: usize, tick: Duration) -> Self {
        let settings = &context.deployment.settings;
        let gateways = f64::from(settings.gateway_count);
        let warm = warm.max(1) as f64;
        let observed =
            context.fleet.throughput / warm * OVERLOAD_SHARE * settings.rules.overload_multiple;
        // Only a part of a large fleet has a server in its subset, so each of these has a larger share of it.
        let share = match context.deployment.mode {
            FleetMode::Gossip => 1.0,
            FleetMode::Leases => (warm / subset_size(settings, ready) as f64).max(1.0),
        };
        let earned = observed.max(BLIND_RATE / gateways) * share * tick.as_micros_f64() / 1e6;
        SlowStart {
            earned,
            kept: (MAX_SAVING_GATEWAYS / gateways).min(1.0),
        }
    }

    /// Grants a server that warms up its credit. `draw`: random, from 0 to 1.
    pub(crate) fn grant(&self, server: &mut Server, warm_up_fraction: f64, draw: f64) {
        let gained = (self.earned * warm_up_fraction + draw).floor();
        let saved = server.slow_start_credit.max(0.0) * self.kept;
        server.slow_start_credit = (saved + gained).min(gained.max(MAX_CREDIT));
    }
}
