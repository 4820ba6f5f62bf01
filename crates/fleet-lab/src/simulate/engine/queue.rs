//! The event queue of a simulation.

use crate::simulate::fault_schedule::FaultAction;
use crate::world::client_request::ClientRequest;
use crate::world::discovery::PollKind;
use crate::world::server_events::Job;
use crate::world::RequestNumber;
use gateway_core::{AttemptNumber, AttemptOutcome, GatewayId, Timestamp};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// One run of a gateway: the time between a start and the next kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GatewayRun {
    pub(super) gateway: GatewayId,
    /// Number of starts and kills of the gateway up to this run.
    pub(super) incarnation: u32,
}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptKey {
    /// Request that the attempt belongs to.
    pub(super) request: RequestNumber,
    /// Number of the attempt among those of the request.
    pub(super) number: AttemptNumber,
}

impl AttemptKey {
    /// Returns the key of the attempt that a server's job belongs to.
    pub(super) fn of(job: &Job) -> AttemptKey {
        AttemptKey {
            request: job.request,
            number: job.attempt,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptResult {
    pub(super) outcome: AttemptOutcome,
    /// Load report; `None` if the server did not answer.
    pub(super) reported_load: Option<f64>,
}

impl AttemptResult {
    pub(super) fn without_report(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult {
            outcome,
            reported_load: None,
        }
    }
}

/// An event of the simulation. Servers are identified by their index.
pub(super) enum SimulationEvent {
    /// A customer's next request arrives.
    Arrival { customer: usize },
    /// A client sends a request again after an error.
    Retry(Box<ClientRequest>),
    /// A timer that a gateway has set fires.
    TimerFired { run: GatewayRun, token: u64 },
    /// A message arrives at a gateway.
    Datagram {
        from: GatewayId,
        to: GatewayId,
        bytes: Vec<u8>,
    },
    /// The late connection of an attempt is established.
    ConnectionEstablished { server: usize, job: Job },
    /// An attempt arrives at a server.
    AttemptArrives { server: usize, job: Job },
    /// The execution of a request is due to complete at a server.
    ExecutionDue { server: usize, execution: u64 },
    /// A server learns that a gateway no longer waits for an attempt.
    AttemptCancelled { server: usize, attempt: AttemptKey },
    /// A gateway learns how an attempt ended.
    AttemptFinished {
        attempt: AttemptKey,
        result: AttemptResult,
    },
    /// A client disconnects, unless its request has already ended.
    ClientDisconnects(RequestNumber),
    /// The time for a final answer has ended.
    AnswerOverdue(RequestNumber),
    /// A gateway's endpoint list is brought up to date.
    Poll { gateway: GatewayId, kind: PollKind },
    /// A gateway's call to discovery fails, unless the gateway has been killed since the call.
    DiscoveryCallFails(GatewayRun),
    /// A fault is injected.
    Fault(FaultAction),
}

/// An event and its time. Events are ordered by time and then by sequence number.
pub(super) struct ScheduledEvent {
    /// Time of the event.
    pub(super) at: Timestamp,
    /// Sequence number: events of the same time happen in the order in which they were scheduled.
    sequence: u64,
    pub(super) event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Scheduled events, ordered by time.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Timestamp, event: SimulationEvent) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    /// Removes and returns the next event.
    pub(super) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.heap.pop().map(|Reverse(scheduled)| scheduled)
    }
}
