//! The event queue of a simulation.

use crate::simulate::fault_schedule::FaultAction;
use crate::world::client_request::ClientRequest;
use crate::world::discovery::PollKind;
use crate::world::server_events::Job;
use crate::world::RequestNumber;
use gateway_core::{AttemptNumber, AttemptOutcome, GatewayId, Timestamp};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A gateway between a start and the next kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GatewayRun {
    /// The gateway.
    pub(super) gateway: GatewayId,
    /// Counts its starts and kills.
    pub(super) incarnation: u32,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptKey {
    /// The request.
    pub(super) request: RequestNumber,
    /// Which attempt of it.
    pub(super) number: AttemptNumber,
}

impl AttemptKey {
    /// The attempt that is a server's job.
    pub(super) fn of(job: &Job) -> AttemptKey {
        AttemptKey {
            request: job.request,
            number: job.attempt,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptResult {
    /// How it ended.
    pub(super) outcome: AttemptOutcome,
    /// The load report, if the server answered.
    pub(super) reported_load: Option<f64>,
}

impl AttemptResult {
    /// A result without a load report.
    pub(super) fn without_report(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult {
            outcome,
            reported_load: None,
        }
    }
}

/// What happens at a time. Servers are given by their index.
pub(super) enum SimulationEvent {
    /// A customer's next request arrives.
    Arrival { customer: usize },
    /// A client retries.
    Retry(Box<ClientRequest>),
    /// A timer that a gateway has set fires.
    TimerFired { run: GatewayRun, token: u64 },
    /// A message arrives at a gateway.
    Datagram {
        from: GatewayId,
        to: GatewayId,
        bytes: Vec<u8>,
    },
    /// An attempt arrives at a server.
    AttemptArrives { server: usize, job: Job },
    /// A running request is due at a server.
    ExecutionDue { server: usize, execution: u64 },
    /// A server learns that a gateway no longer waits for an attempt.
    AttemptCancelled { server: usize, attempt: AttemptKey },
    /// A gateway learns how an attempt ended.
    AttemptFinished {
        attempt: AttemptKey,
        result: AttemptResult,
    },
    /// A client disconnects.
    ClientDisconnects(RequestNumber),
    /// The time for a final answer is over.
    AnswerOverdue(RequestNumber),
    /// A gateway's list of servers is brought up to date.
    Poll { gateway: GatewayId, kind: PollKind },
    /// A gateway's call to discovery fails.
    DiscoveryCallFails(GatewayRun),
    /// A fault is injected.
    Fault(FaultAction),
}

/// An event and its time.
pub(super) struct ScheduledEvent {
    /// When.
    pub(super) at: Timestamp,
    /// Events of the same time happen in the order in which they were scheduled.
    sequence: u64,
    /// What happens.
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

/// Events by time.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event for a time.
    pub(super) fn push(&mut self, at: Timestamp, event: SimulationEvent) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    /// Removes the next event.
    pub(super) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.heap.pop().map(|Reverse(scheduled)| scheduled)
    }
}
