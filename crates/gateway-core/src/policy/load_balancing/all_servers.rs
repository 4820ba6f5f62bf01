//! Server selection in a small fleet: every choice scans all servers and takes the server of the
//! lowest cost.

use super::cost::{lowest_cost_server, PROBE_COST};
use super::eligibility::Choice;
use super::{Selector, MIN_WARM_UP_FRACTION};
use crate::policy::outlier_detection::SMALL_FLEET_LATENCY_HALF_LIFE_US;
use crate::state::servers::{LatencyDecay, Server};
use crate::types::ServerId;

/// Number of ready servers up to which all are scanned: unlimited in a small fleet.
pub(super) const FULL_SCAN_LIMIT: usize = usize::MAX;
/// Decay of latency estimates: an expected latency that is ten times too long decays to nearly that
/// of the fleet within 5 s. Reported loads are not used.
pub(super) const LATENCY_DECAY: LatencyDecay = LatencyDecay {
    latency_half_life_us: SMALL_FLEET_LATENCY_HALF_LIFE_US,
    load_half_life_us: None,
    min_warm_up_fraction: MIN_WARM_UP_FRACTION,
};
/// Maximum fraction by which a random draw increases a cost, so that gateways do not all choose the
/// same one of several equal servers.
const JITTER_FRACTION: f64 = 0.1;

/// Chooses the server of the lowest cost with jitter, or the first eligible server that is ejected.
///
/// An ejected server is eligible if its probe is due, or while ejection is ignored. Only a first
/// attempt is sent to an ejected server as a probe, because a probe may fail.
pub(super) fn choose(
    selector: &Selector<'_>,
    choice: &Choice<'_>,
    eligible: &[&Server],
    random: &mut fastrand::Rng,
) -> Option<ServerId> {
    let may_probe = !choice.request.was_sent();
    lowest_cost_server(eligible, |server| {
        let draw = random.f64();
        if may_probe && choice.is_ejected(server) {
            return PROBE_COST;
        }
        let zone = server.endpoint().zone;
        let unreachable_fraction = selector.context.fleet.unreachable_fraction(zone);
        let cost = selector.cost(choice.request, server, unreachable_fraction);
        cost * (1.0 + JITTER_FRACTION * draw)
    })
}
