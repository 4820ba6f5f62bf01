//! Dispatch: the order in which queued requests are sent, and which of them are skipped for now.
//!
//! The rules, in the order in which they apply whenever a server may have a free slot:
//! 1. The queue is scanned in descending order of priority. Among requests of the same priority, the
//!    one whose client has the least time left comes first ([`dispatch_order`]).
//! 2. A first attempt is skipped while the customer's own limits do not allow it.
//! 3. A request of the lowest class is skipped while that class is at its in-flight limit.
//! 4. Any other request is sent if load balancing finds a server for it.
//!
//! [`DispatchPass::decide`] applies rules 2 and 3.

use super::in_flight_limit::InFlightLimit;
use super::priority::priority;
use super::quota_sharing::QuotaSharing;
use crate::state::deployment::{Context, Deployment};
use crate::state::quota::QuotaState;
use crate::state::request::Request;
use crate::time::Timestamp;
use crate::types::{ClassId, RequestId};
use std::cmp::Ordering;

/// Position of a queued request in the order of dispatch.
struct DispatchRank {
    priority: f64,
    deadline: Timestamp,
}

impl DispatchRank {
    fn of(deployment: &Deployment, request: &Request) -> Self {
        DispatchRank {
            priority: priority(deployment, request),
            deadline: request.deadline(),
        }
    }

    /// Compares in the order of dispatch: higher priorities first, then earlier deadlines.
    fn compare(&self, other: &DispatchRank) -> Ordering {
        let by_priority = other.priority.total_cmp(&self.priority);
        by_priority.then(self.deadline.cmp(&other.deadline))
    }
}

/// Returns the ids of the queued requests in the order in which they are sent: higher priorities
/// first, and among requests of the same priority those with the earliest deadline. Requests that
/// agree in both keep their order in `queued`, which is the order of the queue.
pub(crate) fn dispatch_order<'a>(
    deployment: &Deployment,
    queued: impl Iterator<Item = (&'a RequestId, &'a Request)>,
) -> Vec<RequestId> {
    let mut ranked: Vec<_> = queued
        .map(|(id, request)| (DispatchRank::of(deployment, request), id.clone()))
        .collect();
    ranked.sort_by(|(left, _), (right, _)| left.compare(right));
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// Decision on a queued request.
pub(crate) enum DispatchDecision {
    /// The request is sent if load balancing finds a server for it.
    Send,
    /// The request is skipped: its customer's own limits do not allow a first attempt yet. The
    /// delay must not count as latency, because the servers do not cause it: counted as latency, it
    /// would lower the in-flight limit.
    SkipForQuota,
    /// The request is skipped: it belongs to the lowest class, which is at its in-flight limit.
    SkipForInFlightLimit,
}

/// One scan of the queue.
pub(crate) struct DispatchPass {
    quota_sharing: QuotaSharing,
    lowest_class: ClassId,
    /// Attempts of the lowest class in flight, including those sent during this scan.
    lowest_class_in_flight: f64,
}

impl DispatchPass {
    /// Creates a scan that starts with `lowest_class_in_flight` attempts of the lowest class in
    /// flight.
    pub(crate) fn new(
        quota_sharing: QuotaSharing,
        lowest_class: ClassId,
        lowest_class_in_flight: f64,
    ) -> Self {
        DispatchPass {
            quota_sharing,
            lowest_class,
            lowest_class_in_flight,
        }
    }

    /// Decides whether a queued request is sent now or skipped.
    pub(crate) fn decide(
        &self,
        context: Context<'_>,
        request: &Request,
        limit: &mut InFlightLimit,
        quotas: &mut QuotaState,
    ) -> DispatchDecision {
        // Evaluated for every request of the lowest class, also for those that the quota check
        // skips, because `allows` accumulates pacing tokens.
        let is_limited = self.is_of_lowest_class(request)
            && !limit.allows(
                self.lowest_class_in_flight,
                context.now,
                context.fleet.mean_latency_us(),
            );
        let is_first_attempt = !request.was_sent();
        if is_first_attempt
            && !self
                .quota_sharing
                .allows_first_attempt(quotas, context, request)
        {
            DispatchDecision::SkipForQuota
        } else if is_limited {
            DispatchDecision::SkipForInFlightLimit
        } else {
            DispatchDecision::Send
        }
    }

    /// Records that an attempt is being sent. An attempt of the lowest class counts as in flight
    /// from now on, and consumes a pacing token.
    pub(crate) fn record_attempt_sent(&mut self, class: ClassId, limit: &mut InFlightLimit) {
        if class == self.lowest_class {
            self.lowest_class_in_flight += 1.0;
            limit.consume_pacing_token();
        }
    }

    fn is_of_lowest_class(&self, request: &Request) -> bool {
        request.class() == self.lowest_class
    }
}
