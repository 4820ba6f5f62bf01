//! What gateways tell each other of the usage of quotas.

use std::time::Duration;

/// µs between broadcasts of usage at the least.
pub(crate) const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(200);
/// µs for which a customer's usage is repeated; a few messages may be lost.
pub(crate) const USAGE_LIFETIME: Duration = Duration::from_secs(1);
/// Usage is counted in this part of a unit, so that fractions add up.
pub(crate) const USAGE_STEP: f64 = 1.0 / 8.0;
