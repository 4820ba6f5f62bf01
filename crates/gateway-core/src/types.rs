//! Identifiers and values shared by events, actions and state.

use crate::time::Timestamp;
use std::sync::Arc;

/// A client's request. Ids are never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// A server of the shared fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A customer, to whom a quota applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// A gateway's number, from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatewayId(pub u32);

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::plans`](crate::Settings::plans).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// An availability zone, numbered by the embedding program; only equality matters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A group of servers that share a deduplication store for idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// Number of an attempt within its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// The gateways that a customer's requests come through: `count` of them in a row from `first`, wrapping
/// round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewaySet {
    /// The first gateway.
    pub first: GatewayId,
    /// How many there are.
    pub count: u32,
}

/// Lifecycle state of a server, as discovery reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Its process accepts requests.
    Ready,
    /// It finishes what is in flight and accepts nothing new.
    Draining,
    /// It was removed.
    #[default]
    Gone,
}

/// One server on the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its lifecycle state.
    pub state: EndpointState,
    /// Capacity relative to other servers; above 0.
    pub weight: f64,
    /// When its process last started; `None` for long ago.
    pub started_at: Option<Timestamp>,
}

/// How the endpoints of an update are to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The whole list: a server that is not on it is gone.
    Snapshot,
    /// Only what changed.
    Delta,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered.
    Success,
    /// The server answered with an error; the request may have run.
    ServerError,
    /// The server rejected it unread: it never ran.
    Overloaded,
    /// No answer in time; it may have run, or may yet.
    TimedOut,
    /// No connection: it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled by this gateway; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the attempt came to a server.
    #[must_use]
    pub fn reached_server(self) -> bool {
        !matches!(self, AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
    }

    /// Whether the request may have been executed by the attempt.
    #[must_use]
    pub fn may_have_executed(self) -> bool {
        self.reached_server() && self != AttemptOutcome::Overloaded
    }
}

/// Why a request was rejected or failed without an answer from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// Its client's deadline leaves no time for an attempt.
    DeadlineTooShort,
    /// The customer's token bucket, or the part that a quota owner keeps, is short of units, permits or hard
    /// limit.
    QuotaExceeded,
    /// So many of the customer's requests are rejected that only a share of them may request a lease.
    LeaseRequestThrottled,
    /// The customer's quota owners did not answer, and the local bucket did not cover it.
    OwnerUnreachable,
    /// Shed by chance, lowest priority first, as the servers fill.
    LoadShed,
    /// It waited for a quota decision until half of its time was over.
    QuotaTimeout,
    /// It waited for the in-flight limit or for a server until half of its time was over.
    QueueTimeout,
    /// Its attempts failed, and no further one was possible or allowed.
    RetriesExhausted,
}
