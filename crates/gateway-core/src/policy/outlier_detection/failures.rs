//! Which attempts count as failures, and how attempts that end enter the estimates.

use crate::state::attempt::Attempt;
use crate::state::servers::{FleetEstimates, Server};
use crate::types::{AttemptOutcome, ClassId};

/// Weight of an attempt in its server's failure rate with its class.
pub(crate) const FAILURE_WEIGHT: f64 = 0.2;
/// Fraction of [`FAILURE_WEIGHT`] with which an attempt counts for the server's other classes,
/// because one class may fail alone.
pub(crate) const OTHER_CLASS_WEIGHT_FRACTION: f64 = 0.25;

/// Returns whether an attempt that ended counts as a failure of its server.
///
/// An attempt that was cancelled or timed out does not count if the server has since answered
/// another attempt of the same class, because the request itself may have been slow. The attempt
/// counts nevertheless if this gateway cancelled it while its request was open
/// (`was_cancelled_here`).
pub(crate) fn is_failure(
    server: &Server,
    attempt: &Attempt,
    outcome: AttemptOutcome,
    was_cancelled_here: bool,
) -> bool {
    let answered_at = server.class_health(attempt.class).answered_at();
    let has_answered_since = answered_at > attempt.sent_at && !was_cancelled_here;
    match outcome {
        AttemptOutcome::Success => false,
        AttemptOutcome::Cancelled | AttemptOutcome::TimedOut => !has_answered_since,
        _ => true,
    }
}

/// Returns whether an attempt counts for the reachability of its server's zone.
///
/// The reachability of whole zones is estimated because a zone whose links are cut would otherwise
/// be detected server by server. An attempt that could not connect to an ejected server does not
/// count, because a machine that hangs accepts no connections either.
pub(crate) fn reveals_zone_reachability(
    server: &Server,
    class: ClassId,
    is_unreachable: bool,
) -> bool {
    !is_unreachable || !server.class_health(class).is_ejected()
}

/// Returns the latency in µs with which an attempt counts. A failed attempt counts with at least the
/// mean latency of all servers: otherwise a server that fails fast would look fast, although its
/// client has to wait for another attempt.
pub(crate) fn counted_latency_us(fleet: &FleetEstimates, latency_us: f64, has_failed: bool) -> f64 {
    if has_failed {
        latency_us.max(fleet.mean_latency_us())
    } else {
        latency_us
    }
}
