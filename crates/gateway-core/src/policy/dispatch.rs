//! Dispatch: in which order queued requests are sent, and which of them are skipped for now.
//!
//! The rules, in the order in which they apply whenever a server may have a free slot:
//! 1. The queue is scanned by priority, the highest first; requests of the same priority keep the
//!    order in which they were queued ([`dispatch_order`]).
//! 2. A first attempt that the customer's own limits do not allow yet is skipped.
//! 3. A request of the lowest class is skipped while that class is at its in-flight limit.
//! 4. All others are sent, if load balancing finds a server for them ([`DispatchPass::decide`]).

use super::in_flight_limit::InFlightLimit;
use super::priority::remaining_priority;
use super::quota_sharing::QuotaSharing;
use crate::state::deployment::Context;
use crate::state::quota::QuotaState;
use crate::state::request::Request;
use crate::types::{ClassId, RequestId};

/// The queued requests in the order in which they are considered. `queued` has the order of the
/// queue.
pub(crate) fn dispatch_order<'a>(
    context: Context<'_>,
    queued: impl Iterator<Item = (&'a RequestId, &'a Request)>,
) -> Vec<RequestId> {
    let mut prioritized: Vec<_> = queued
        .map(|(id, request)| (remaining_priority(context, request), id.clone()))
        .collect();
    prioritized.sort_by(|(left, _), (right, _)| right.total_cmp(left));
    prioritized.into_iter().map(|(_, id)| id).collect()
}

/// Whether a queued request is sent now.
pub(crate) enum DispatchDecision {
    /// It is sent, if there is a server for it.
    Send,
    /// It is skipped: its customer's own limits do not allow a first attempt yet. The delay is not
    /// the servers', so it must not count as latency, which would tighten the in-flight limit.
    SkipForQuota,
    /// It is skipped: its class, the lowest, is at its in-flight limit.
    SkipForInFlightLimit,
}

/// One scan of the queue.
pub(crate) struct DispatchPass {
    quota_sharing: QuotaSharing,
    lowest_class: ClassId,
    /// Attempts of the lowest class in flight, with those sent by this scan.
    lowest_in_flight: f64,
}

impl DispatchPass {
    /// A scan that starts with so many attempts of the lowest class in flight.
    pub(crate) fn new(
        quota_sharing: QuotaSharing,
        lowest_class: ClassId,
        lowest_in_flight: f64,
    ) -> Self {
        DispatchPass {
            quota_sharing,
            lowest_class,
            lowest_in_flight,
        }
    }

    /// Decides whether a queued request is sent now.
    pub(crate) fn decide(
        &self,
        context: Context<'_>,
        request: &Request,
        limit: &mut InFlightLimit,
        quotas: &mut QuotaState,
    ) -> DispatchDecision {
        // Asked before the quota, for each request of the class: it accumulates pacing tokens.
        let is_limited = self.is_of_lowest_class(request)
            && !limit.allows(
                self.lowest_in_flight,
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

    /// Records that an attempt of a request is being sent.
    pub(crate) fn record_attempt_sent(&mut self, class: ClassId, limit: &mut InFlightLimit) {
        if class == self.lowest_class {
            self.lowest_in_flight += 1.0;
            limit.consume_pacing_token();
        }
    }

    fn is_of_lowest_class(&self, request: &Request) -> bool {
        request.class() == self.lowest_class
    }
}
