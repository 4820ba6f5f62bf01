//! Open requests: what is known of each, and the queue of those that wait to be sent.

use super::attempt::Attempt;
use crate::time::Timestamp;
use crate::types::{
    AttemptNumber, ClassId, CustomerId, Endpoint, GatewayId, PlanId, RequestId, ServerId,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Where and when the first attempt went that may have been executed.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    /// The server, as listed when the attempt ended.
    pub(crate) endpoint: Endpoint,
    /// When the attempt was sent.
    pub(crate) sent_at: Timestamp,
}

/// A request without a final answer.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) class: ClassId,
    pub(crate) plan: PlanId,
    pub(crate) customer: CustomerId,
    pub(crate) units: f64,
    pub(crate) arrived_at: Timestamp,
    /// Since when only the servers delay it, not its customer's own quota.
    pub(crate) due_since: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Attempts sent so far.
    pub(crate) attempts: u32,
    /// The attempt in flight; there is one at most.
    pub(crate) in_flight: Option<AttemptNumber>,
    /// Whether that attempt was cancelled, or must not be.
    pub(crate) cancelled: bool,
    /// Whether it has been counted as late while it was open.
    pub(crate) counted_late: bool,
    /// Whether an attempt has reached a server.
    pub(crate) reached_server: bool,
    pub(crate) possibly_executed: Option<PossibleExecution>,
    pub(crate) last_server: Option<ServerId>,
    pub(crate) quota: QuotaProgress,
}

impl Request {
    /// A request that arrives now. `timeout`: how long its client waits, in µs.
    pub(crate) fn arriving(now: Timestamp, timeout: Duration) -> Self {
        Request {
            arrived_at: now,
            due_since: now,
            deadline: now + timeout,
            ..Request::default()
        }
    }

    /// When half of its client's time is over.
    pub(crate) fn half_time(&self) -> Timestamp {
        self.arrived_at + self.deadline.duration_since(self.arrived_at) / 2
    }

    /// A stream has begun: there is no deadline any more, and nothing to cancel.
    pub(crate) fn hand_to_client(&mut self) {
        self.deadline = Timestamp::MAX;
        self.cancelled = true;
    }

    /// Counts the request as late while it is open; false if it was counted before.
    pub(crate) fn count_as_late(&mut self) -> bool {
        !std::mem::replace(&mut self.counted_late, true)
    }

    /// Notes that a new attempt is in flight at this server.
    pub(crate) fn attempt_sent(&mut self, server: ServerId) -> AttemptNumber {
        let number = AttemptNumber(self.attempts);
        self.attempts += 1;
        self.in_flight = Some(number);
        self.last_server = Some(server);
        self.cancelled = false;
        number
    }

    /// The attempt that has just been sent. `server_in_flight`: attempts in flight at the server, with this
    /// one.
    pub(crate) fn attempt_record(
        &self,
        server: ServerId,
        now: Timestamp,
        server_in_flight: f64,
    ) -> Attempt {
        Attempt {
            server,
            customer: self.customer,
            class: self.class,
            due_since: self.due_since,
            sent_at: now,
            server_in_flight,
        }
    }
}

/// One of a customer's quota owners.
#[derive(Clone, Copy, Default)]
pub(crate) struct QuotaOwner {
    /// Its index among the customer's owners.
    pub(crate) index: u32,
    /// The gateway.
    pub(crate) gateway: GatewayId,
}

/// A lease request without an answer.
#[derive(Clone, Copy)]
pub(crate) struct PendingLeaseRequest {
    pub(crate) sequence: u16,
    pub(crate) sent_at: Timestamp,
}

/// Who granted a request its quota, and under which lease request.
#[derive(Clone, Copy)]
pub(crate) struct QuotaGrant {
    pub(crate) owner: GatewayId,
    pub(crate) sequence: u16,
}

/// How a request fares with its customer's quota owners.
#[derive(Default)]
pub(crate) struct QuotaProgress {
    /// The owner asked last.
    pub(crate) owner: QuotaOwner,
    pub(crate) pending: Option<PendingLeaseRequest>,
    /// Answers that the quota is exceeded.
    pub(crate) rejections: u32,
    /// Lease requests without an answer.
    pub(crate) misses: u32,
    pub(crate) grant: Option<QuotaGrant>,
    /// Until when the grant may be used under a hard limit.
    pub(crate) grant_expires_at: Timestamp,
}

impl QuotaProgress {
    /// Notes that an owner has been asked.
    pub(crate) fn ask(&mut self, now: Timestamp, sequence: u16, owner: QuotaOwner) {
        self.owner = owner;
        self.pending = Some(PendingLeaseRequest {
            sequence,
            sent_at: now,
        });
    }

    /// Whether no owner has rejected it or kept silent so far.
    pub(crate) fn is_first_try(&self) -> bool {
        self.rejections + self.misses == 0
    }
}

/// All open requests.
#[derive(Default)]
pub(crate) struct RequestTable {
    open: BTreeMap<RequestId, Request>,
    /// Those that wait to be sent, in the order in which they began to wait.
    queue: Vec<RequestId>,
}

impl RequestTable {
    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        self.open.insert(id, request);
    }

    pub(crate) fn get(&self, id: &RequestId) -> Option<&Request> {
        self.open.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &RequestId) -> Option<&mut Request> {
        self.open.get_mut(id)
    }

    /// Takes a request off the table and the queue.
    pub(crate) fn remove(&mut self, id: &RequestId) -> Option<Request> {
        let request = self.open.remove(id)?;
        self.dequeue(id);
        Some(request)
    }

    /// All open requests, in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RequestId, &Request)> {
        self.open.iter()
    }

    /// The same, to be changed.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Request> {
        self.open.values_mut()
    }

    pub(crate) fn enqueue(&mut self, id: RequestId) {
        self.queue.push(id);
    }

    pub(crate) fn dequeue(&mut self, id: &RequestId) {
        self.queue.retain(|other| other != id);
    }

    pub(crate) fn is_queue_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The requests that wait to be sent, in the order in which they began to wait.
    pub(crate) fn queued(&self) -> impl Iterator<Item = (&RequestId, &Request)> {
        self.queue
            .iter()
            .filter_map(|id| Some((id, self.open.get(id)?)))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request.rs"]
mod tests;
