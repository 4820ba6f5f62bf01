//! The plan that the unit tests of quotas share.

use crate::settings::{HardLimit, Plan};
use crate::units::Units;

/// 10 units a second with a burst of 20, under a hard limit of 4 a second and a capacity of 8.
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
