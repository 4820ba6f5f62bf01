//! Counts of final answers that no server made.

use crate::types::{PlanId, RejectReason};
use std::collections::BTreeMap;

/// Final answers since the start that no server made, by reason and plan.
#[derive(Default)]
pub(super) struct RejectionCounts(BTreeMap<(RejectReason, PlanId), u64>);

impl RejectionCounts {
    /// Counts one more.
    pub(super) fn record(&mut self, reason: RejectReason, plan: PlanId) {
        *self.0.entry((reason, plan)).or_default() += 1;
    }

    /// All counts that are not 0, in the order of reasons and plans.
    pub(super) fn iter(&self) -> impl Iterator<Item = (RejectReason, PlanId, u64)> + '_ {
        self.0
            .iter()
            .map(|((reason, plan), count)| (*reason, *plan, *count))
    }
}
