//! An open request: its details, the state of its attempts, and its progress with the quota owners.

use super::attempt::Attempt;
use super::quota::QuotaProgress;
use crate::time::Timestamp;
use crate::types::{AttemptNumber, ClassId, CustomerId, Endpoint, PlanId, ServerId};
use crate::units::Units;
use std::time::Duration;

/// An attempt that a server may have executed.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    /// The endpoint of the server, as listed when the attempt ended.
    pub(crate) endpoint: Endpoint,
    /// When the attempt was sent.
    pub(crate) sent_at: Timestamp,
}

/// The details of a client's request that a gateway uses. They do not change.
#[derive(Clone, Copy, Default)]
pub(crate) struct RequestDetails {
    /// The class, which determines the latency objective, priority weight and idempotency.
    pub(crate) class: ClassId,
    /// The plan of the customer, as named by the request.
    pub(crate) plan: PlanId,
    /// The customer whose quota is charged.
    pub(crate) customer: CustomerId,
    /// The quota units that the request consumes.
    pub(crate) units: Units,
}

/// The attempt of a request that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InFlightAttempt {
    number: AttemptNumber,
    /// False once the attempt has been cancelled or its answer streams to the client.
    is_cancellable: bool,
}

/// A request without a final answer.
#[derive(Default)]
pub(crate) struct Request {
    details: RequestDetails,
    arrived_at: Timestamp,
    deadline: Timestamp,
    /// The time from which the request could have been sent, had a server been available. It
    /// excludes delays by the customer's own quota, which do not count as latency.
    eligible_since: Timestamp,
    /// Number of attempts sent so far.
    attempt_count: u32,
    in_flight: Option<InFlightAttempt>,
    /// Whether the request has been counted as a late sample while open.
    is_counted_as_late: bool,
    possible_execution: Option<PossibleExecution>,
    last_server: Option<ServerId>,
    /// The lease requests sent for this request, and the grant obtained.
    pub(crate) quota: QuotaProgress,
}

impl Request {
    /// Creates a request that arrived at `now` and whose client waits for `timeout`.
    pub(crate) fn new(now: Timestamp, timeout: Duration, details: RequestDetails) -> Self {
        Request {
            details,
            arrived_at: now,
            eligible_since: now,
            deadline: now + timeout,
            ..Request::default()
        }
    }

    pub(crate) fn class(&self) -> ClassId {
        self.details.class
    }

    /// Returns the plan of the customer, as named by the request.
    pub(crate) fn plan(&self) -> PlanId {
        self.details.plan
    }

    /// Returns the customer whose quota is charged.
    pub(crate) fn customer(&self) -> CustomerId {
        self.details.customer
    }

    /// Returns the quota units that the request consumes.
    pub(crate) fn units(&self) -> Units {
        self.details.units
    }

    /// Returns when the client stops waiting; [`Timestamp::MAX`] once the answer streams.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Returns how long the client waits, from the arrival of the request on.
    pub(crate) fn client_timeout(&self) -> Duration {
        self.deadline.duration_since(self.arrived_at)
    }

    /// Returns the time from which the request could have been sent, had a server been available.
    pub(crate) fn eligible_since(&self) -> Timestamp {
        self.eligible_since
    }

    /// Records that the customer's own quota, not a lack of servers, delayed the request until now.
    pub(crate) fn record_quota_delay(&mut self, now: Timestamp) {
        self.eligible_since = now;
    }

    /// Returns the number of attempts sent so far.
    pub(crate) fn attempt_count(&self) -> u32 {
        self.attempt_count
    }

    /// Returns whether any attempt has been sent.
    pub(crate) fn was_sent(&self) -> bool {
        self.attempt_count > 0
    }

    /// Returns whether an attempt is in flight. A request has at most one.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns the number of the attempt in flight, if that attempt may be cancelled.
    pub(crate) fn cancellable_attempt(&self) -> Option<AttemptNumber> {
        let attempt = self.in_flight.filter(|attempt| attempt.is_cancellable)?;
        Some(attempt.number)
    }

    /// Returns whether the attempt in flight was cancelled or its answer streams to the client.
    pub(crate) fn is_cancelled_or_streaming(&self) -> bool {
        self.in_flight
            .is_some_and(|attempt| !attempt.is_cancellable)
    }

    /// Returns the first attempt that may have been executed; `None` if none can have been.
    pub(crate) fn possible_execution(&self) -> Option<&PossibleExecution> {
        self.possible_execution.as_ref()
    }

    /// Returns the server of the most recent attempt.
    pub(crate) fn last_server(&self) -> Option<ServerId> {
        self.last_server
    }

    /// Marks the open request as counted as a late sample; returns false if it was marked before.
    pub(crate) fn count_as_late(&mut self) -> bool {
        !std::mem::replace(&mut self.is_counted_as_late, true)
    }

    /// Records that an attempt was sent to a server; returns the attempt's number.
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

    /// Records that the attempt in flight was cancelled. It stays in flight until its end is
    /// reported.
    pub(crate) fn record_cancellation(&mut self) {
        self.forbid_cancellation();
    }

    /// Records that the answer streams to the client: from now on there is no deadline, and the
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
    pub(crate) fn record_attempt_finished(&mut self) {
        self.in_flight = None;
    }

    /// Records an attempt that may have been executed, unless an earlier one was recorded.
    pub(crate) fn record_possible_execution(&mut self, execution: Option<PossibleExecution>) {
        self.possible_execution = self.possible_execution.or(execution);
    }

    /// Returns the record of the attempt that has just been sent to `server`. `server_in_flight`
    /// is the number of attempts in flight there, including this one.
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
            client_timeout: self.client_timeout(),
            server_in_flight,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request.rs"]
mod tests;
