//! Counts of final answers that the gateway gave without a server.

use crate::types::{PlanId, RejectReason};
use std::collections::BTreeMap;

/// Numbers of final answers given without a server since the gateway started, by reason and plan.
/// Both rejections and failures count.
#[derive(Default)]
pub(super) struct RejectionCounts(BTreeMap<(RejectReason, PlanId), u64>);

impl RejectionCounts {
    /// Counts one final answer.
    pub(super) fn record(&mut self, reason: RejectReason, plan: PlanId) {
        *self.0.entry((reason, plan)).or_default() += 1;
    }

    /// Returns all counts that are not 0, in the order of reasons and plans.
    pub(super) fn iter(&self) -> impl Iterator<Item = (RejectReason, PlanId, u64)> + '_ {
        self.0
            .iter()
            .map(|((reason, plan), count)| (*reason, *plan, *count))
    }
}
