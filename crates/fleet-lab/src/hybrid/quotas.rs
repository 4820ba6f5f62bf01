//! Quotas of customers, and their use by all nodes together.

use crate::time::seconds_between;
use crate::world::usage_limit::{Excess, UsageLimit};
use gateway_core::{CustomerId, Timestamp};

/// A customer's quota over all nodes together, and how far nodes may exceed it because they lack
/// information.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Units per second that may be used in the long run.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Units beyond the quota that are tolerated at any time.
    pub tolerance: f64,
    /// Additional units that are tolerated for each second since the first request.
    pub tolerance_per_second: f64,
}

/// A customer and the quota that all nodes together must enforce for it.
#[derive(Clone, Copy, Debug)]
pub struct CustomerQuota {
    /// Customer that the quota belongs to.
    pub customer: CustomerId,
    /// Quota of the customer, with the excess that is tolerated.
    pub quota: Quota,
}

/// A quota and its use by all nodes together.
#[derive(Debug)]
pub(super) struct QuotaUsage {
    quota: Quota,
    limit: UsageLimit,
}

impl QuotaUsage {
    /// Creates the record of a quota that has not been used.
    pub(super) fn new(quota: Quota, now: Timestamp) -> QuotaUsage {
        QuotaUsage {
            quota,
            limit: UsageLimit::unused(now, quota.rate, quota.burst),
        }
    }

    /// Consumes units, even if that exceeds the quota. The tolerance grows from `started_at` on.
    pub(super) fn consume(&mut self, started_at: Timestamp, now: Timestamp, units: f64) {
        let elapsed = seconds_between(started_at, now);
        let tolerated = self.quota.tolerance + self.quota.tolerance_per_second * elapsed;
        self.limit.consume(now, units, tolerated);
    }

    /// Returns the maximum excess relative to its tolerance; `None` before the first use.
    pub(super) fn peak(&self) -> Option<Excess> {
        self.limit.peak()
    }
}
