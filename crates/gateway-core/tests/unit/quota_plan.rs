//! The plan that the unit tests of quotas use.

use crate::settings::{HardLimit, Plan};
use crate::units::Units;

/// Returns a plan of 10 units per second with a burst of 20 units, and a hard limit of 4 units per
/// second with a capacity of 8 units.
pub(super) fn plan() -> Plan {
    Plan {
        rate: 10.0,
        burst: Units::new(20.0),
        max_concurrent: None,
        weight: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 0.0,
        hard_limit: Some(HardLimit {
            rate: 4.0,
            capacity: Units::new(8.0),
        }),
    }
}
