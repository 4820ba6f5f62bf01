//! Slow start: how many attempts a server receives while it warms up. A server that has just
//! started is overloaded by a rate that a warm server sustains.
//!
//! 1. [`SlowStart::new`]: the rate of attempts that this gateway may send to a warm server,
//!    according to the throughput that the warm servers sustain.
//! 2. [`SlowStart::grant`]: at each control tick, every server that is warming up gains slow-start
//!    credit for its fraction of that rate.
//! 3. Each attempt takes one unit of credit; a server with less than one unit has no capacity (see
//!    [`load_balancing`](super::load_balancing)).

use super::load_balancing::ServerSelection;
use crate::state::deployment::Context;
use crate::state::servers::SlowStartCredit;
use crate::statistics::{count_as_f64, expected_count};
use std::time::Duration;

/// Minimum rate of attempts, over all gateways, from which the slow-start credit of a server is
/// calculated. The credit is granted at the warm-up fraction of the rate.
const MIN_ATTEMPTS_PER_SECOND: f64 = 1.5;
/// Slow-start credit that one gateway may accumulate for a server, in attempts.
const MAX_CREDIT: f64 = 1.5;
/// Number of gateways up to which each may retain all credit that it has not used. In larger fleets
/// each gateway retains less, because all gateways might use their credit at the same time.
const MAX_RETAINING_GATEWAYS: f64 = 6.0;
/// Fraction of the overload multiple by which the throughput of a warm server is multiplied.
const OVERLOAD_FRACTION: f64 = 0.4;

/// Slow-start credit that this gateway grants at one control tick.
pub(crate) struct SlowStart {
    /// Number of attempts that a server with its full capacity would be granted.
    full_grant: f64,
    /// Fraction of unused credit that is retained.
    retained_fraction: f64,
}

impl SlowStart {
    /// Creates the grant for a control tick.
    ///
    /// The rate is [`OVERLOAD_FRACTION`] of the overload multiple times this gateway's throughput
    /// per warm server, or this gateway's part of [`MIN_ATTEMPTS_PER_SECOND`] if that is higher. Of
    /// the `ready` servers, `warm` are warm; `tick` is the time between two control ticks. In a
    /// large fleet only some of the gateways have a given server in their subset, so each of these
    /// gateways grants the server more.
    pub(crate) fn new(
        context: Context<'_>,
        selection: &ServerSelection,
        warm: usize,
        ready: usize,
        tick: Duration,
    ) -> Self {
        let settings = &context.deployment.settings;
        let gateways = f64::from(settings.gateway_count);
        let warm = count_as_f64(warm.max(1));
        let observed_rate = context.fleet.throughput() / warm
            * OVERLOAD_FRACTION
            * settings.rules.overload_multiple;
        let rate = observed_rate.max(MIN_ATTEMPTS_PER_SECOND / gateways)
            * selection.warm_to_subset_ratio(warm, ready);
        SlowStart {
            full_grant: expected_count(rate, tick),
            retained_fraction: (MAX_RETAINING_GATEWAYS / gateways).min(1.0),
        }
    }

    /// Grants slow-start credit to a server that is warming up: whole attempts, where a fraction of
    /// an attempt is rounded up with a probability equal to that fraction.
    ///
    /// `warm_up_fraction` is the fraction of its capacity that the server has; `draw` is random,
    /// from 0 to 1.
    pub(crate) fn grant(&self, credit: &mut SlowStartCredit, warm_up_fraction: f64, draw: f64) {
        let gained = (self.full_grant * warm_up_fraction + draw).floor();
        let maximum = gained.max(MAX_CREDIT);
        credit.add(gained, self.retained_fraction, maximum);
    }
}
