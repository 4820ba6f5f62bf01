//! An open request: what arrived, what became of its attempts, and its progress with the quota
//! owners.

use super::attempt::Attempt;
use super::quota::QuotaProgress;
use crate::time::Timestamp;
use crate::types::{
    AttemptNumber, AttemptOutcome, ClassId, CustomerId, Endpoint, PlanId, ServerId,
};
use crate::units::Units;
use std::time::Duration;

/// Where and when an attempt was sent that may have been executed.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    /// The server, as listed when the attempt ended.
    pub(crate) endpoint: Endpoint,
    /// When the attempt was sent.
    pub(crate) sent_at: Timestamp,
}

/// What a client's request consists of for a gateway; it does not change.
#[derive(Clone, Copy, Default)]
pub(crate) struct RequestDetails {
    /// The class, which gives the latency objective, the priority weight and the idempotency.
    pub(crate) class: ClassId,
    /// The plan of the customer.
    pub(crate) plan: PlanId,
    /// The customer.
    pub(crate) customer: CustomerId,
    /// Quota units that the request consumes.
    pub(crate) units: Units,
}

/// The attempt of a request that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InFlightAttempt {
    number: AttemptNumber,
    /// Whether it may be cancelled: not once it has been, or once its answer streams to the client.
    is_cancellable: bool,
}

/// A request without a final answer: what arrived, what became of its attempts, and its progress
/// with the quota owners.
#[derive(Default)]
pub(crate) struct Request {
    details: RequestDetails,
    arrived_at: Timestamp,
    deadline: Timestamp,
    /// Since when the request could have been sent if a server had been available: delays by its
    /// customer's own quota do not count as latency.
    eligible_since: Timestamp,
    /// Attempts sent so far.
    attempt_count: u32,
    in_flight: Option<InFlightAttempt>,
    /// Whether it has been counted as a late sample while it was open.
    is_counted_as_late: bool,
    /// Whether an attempt has reached a server.
    has_reached_server: bool,
    possible_execution: Option<PossibleExecution>,
    last_server: Option<ServerId>,
    /// Its progress with its customer's quota owners.
    pub(crate) quota: QuotaProgress,
}

impl Request {
    /// A request that arrives at `now` and whose client waits for `timeout`.
    pub(crate) fn new(now: Timestamp, timeout: Duration, details: RequestDetails) -> Self {
        Request {
            details,
            arrived_at: now,
            eligible_since: now,
            deadline: now + timeout,
            ..Request::default()
        }
    }

    /// Its class.
    pub(crate) fn class(&self) -> ClassId {
        self.details.class
    }

    /// The plan of its customer, as the request names it.
    pub(crate) fn plan(&self) -> PlanId {
        self.details.plan
    }

    /// Its customer.
    pub(crate) fn customer(&self) -> CustomerId {
        self.details.customer
    }

    /// Quota units that it consumes.
    pub(crate) fn units(&self) -> Units {
        self.details.units
    }

    /// When it arrived.
    pub(crate) fn arrived_at(&self) -> Timestamp {
        self.arrived_at
    }

    /// When its client stops waiting; [`Timestamp::MAX`] once its answer streams.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// When half of its client's timeout has passed.
    pub(crate) fn half_time(&self) -> Timestamp {
        self.arrived_at + self.deadline.duration_since(self.arrived_at) / 2
    }

    /// Since when it could have been sent if a server had been available.
    pub(crate) fn eligible_since(&self) -> Timestamp {
        self.eligible_since
    }

    /// Records that it was delayed until now by its customer's own quota, not by the servers.
    pub(crate) fn record_quota_delay(&mut self, now: Timestamp) {
        self.eligible_since = now;
    }

    /// Attempts sent so far.
    pub(crate) fn attempt_count(&self) -> u32 {
        self.attempt_count
    }

    /// Whether an attempt was sent before.
    pub(crate) fn was_sent(&self) -> bool {
        self.attempt_count > 0
    }

    /// Whether an attempt is in flight; there is one at most.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// The attempt in flight, if it may be cancelled.
    pub(crate) fn cancellable_attempt(&self) -> Option<AttemptNumber> {
        let attempt = self.in_flight.filter(|attempt| attempt.is_cancellable)?;
        Some(attempt.number)
    }

    /// Whether the attempt in flight was cancelled, or its answer streams to the client.
    pub(crate) fn is_cancelled_or_streaming(&self) -> bool {
        self.in_flight
            .is_some_and(|attempt| !attempt.is_cancellable)
    }

    /// Whether an attempt has reached a server.
    pub(crate) fn has_reached_server(&self) -> bool {
        self.has_reached_server
    }

    /// Where and when it may have been executed; `None` if it can't have been.
    pub(crate) fn possible_execution(&self) -> Option<&PossibleExecution> {
        self.possible_execution.as_ref()
    }

    /// The server of the last attempt.
    pub(crate) fn last_server(&self) -> Option<ServerId> {
        self.last_server
    }

    /// Counts the request as a late sample while it is open; false if it was counted before.
    pub(crate) fn count_as_late(&mut self) -> bool {
        !std::mem::replace(&mut self.is_counted_as_late, true)
    }

    /// Records that a new attempt is in flight at this server.
    pub(crate) fn record_attempt_sent(&mut self, server: ServerId) -> AttemptNumber {
        let number = AttemptNumber(self.attempt_count);
        self.attempt_count += 1;
        self.last_server = Some(server);
        self.in_flight = Some(InFlightAttempt {
            number,
            is_cancellable: true,
        });
        number
    }

    /// Records that the attempt in flight was cancelled; that it has ended is reported later.
    pub(crate) fn record_cancellation(&mut self) {
        self.forbid_cancellation();
    }

    /// Records that the answer streams to the client: there is no deadline any more, and the
    /// attempt must not be cancelled.
    pub(crate) fn record_stream_start(&mut self) {
        self.deadline = Timestamp::MAX;
        self.forbid_cancellation();
    }

    fn forbid_cancellation(&mut self) {
        if let Some(attempt) = &mut self.in_flight {
            attempt.is_cancellable = false;
        }
    }

    /// Records that the attempt in flight has ended.
    pub(crate) fn record_attempt_finished(&mut self, outcome: AttemptOutcome) {
        self.in_flight = None;
        self.has_reached_server |= outcome.reached_server();
    }

    /// Records where and when an attempt was sent that may have been executed; the first one
    /// counts.
    pub(crate) fn record_possible_execution(&mut self, execution: Option<PossibleExecution>) {
        self.possible_execution = self.possible_execution.or(execution);
    }

    /// The record of the attempt that has just been sent to `server`, where so many are in flight
    /// with it.
    pub(crate) fn attempt_record(
        &self,
        server: ServerId,
        now: Timestamp,
        server_in_flight: f64,
    ) -> Attempt {
        Attempt {
            server,
            customer: self.details.customer,
            class: self.details.class,
            eligible_since: self.eligible_since,
            sent_at: now,
            server_in_flight,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request.rs"]
mod tests;
