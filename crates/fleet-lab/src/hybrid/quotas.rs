//! The quotas of customers, and what all nodes together use of them.

use crate::time::seconds_between;
use crate::world::usage_limit::{Excess, UsageLimit};
use gateway_core::{CustomerId, Timestamp};

/// A customer's quota over all nodes together, and by how much nodes may exceed it while they lack information.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units that may be used in one moment.
    pub burst: f64,
    /// Units beyond the quota that are tolerated at any time.
    pub tolerance: f64,
    /// Further units that are tolerated for each second since the first request.
    pub tolerance_per_second: f64,
}

/// A customer and its quota.
#[derive(Clone, Copy, Debug)]
pub struct CustomerQuota {
    /// The customer.
    pub customer: CustomerId,
    /// Its quota.
    pub quota: Quota,
}

/// What all nodes together use of one quota.
#[derive(Debug)]
pub(super) struct QuotaUsage {
    quota: Quota,
    limit: UsageLimit,
}

impl QuotaUsage {
    /// A quota of which nothing has been used.
    pub(super) fn new(quota: Quota, now: Timestamp) -> QuotaUsage {
        QuotaUsage {
            quota,
            limit: UsageLimit::unused(now, quota.rate, quota.burst),
        }
    }

    /// Uses units, whether or not that exceeds the quota. The tolerance grows from `started_at` on.
    pub(super) fn consume(&mut self, started_at: Timestamp, now: Timestamp, units: f64) {
        let elapsed = seconds_between(started_at, now);
        let tolerated = self.quota.tolerance + self.quota.tolerance_per_second * elapsed;
        self.limit.consume(now, units, tolerated);
    }

    /// The maximum excess relative to its tolerance; `None` before the first use.
    pub(super) fn peak(&self) -> Option<Excess> {
        self.limit.peak()
    }
}
