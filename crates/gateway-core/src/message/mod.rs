//! Messages between gateways: their types, and their layout in at most 256 bytes. The layout is written out by hand:
//! gateways of two releases talk to each other, so it must not follow the types as a serde codec's would.

mod decode;
mod encode;

pub(crate) use decode::decode;
pub(crate) use encode::encode;

use crate::hash::fibonacci_hash;
use crate::types::{ClassId, CustomerId, GatewaySet, PlanId, ServerId};
use std::time::Duration;

const VERSION: u8 = 4;
/// Kinds of messages, as encoded.
const KIND_USAGE: u8 = 0;
const KIND_LEASE_REQUEST: u8 = 1;
const KIND_LEASE_ANSWER: u8 = 2;
const KIND_PERMIT_RELEASE: u8 = 3;
/// Decisions on lease requests, as encoded.
const DECISION_GRANTED: u8 = 0;
const DECISION_QUOTA_EXCEEDED: u8 = 1;

/// Bytes of a datagram.
const MAX_MESSAGE_BYTES: usize = 256;
/// Version, kind and incarnation.
const USAGE_HEADER_BYTES: usize = 6;
const CUSTOMER_BYTES: usize = 5;
const USAGE_COUNT_BYTES: usize = CUSTOMER_BYTES + 2;
const HEALTH_REPORT_BYTES: usize = 6;

/// Steps in which small numbers are encoded: latency ratios, units and throughput ...
const FRACTION_STEPS: f64 = 16.0;
/// ... µs of wait ...
const WAIT_STEP: f64 = 8_000.0;
/// ... and µs of age.
const AGE_STEP: Duration = Duration::from_millis(32);
/// Encodes an unknown latency ratio, or an unknown load.
const UNKNOWN: u8 = 255;
/// Steps in which a failure rate is encoded.
const FAILURE_RATE_STEPS: u8 = 31;
/// How many classes a health report can name.
const MAX_CLASSES: usize = 8;

/// Customers whose usage fits into one message.
pub(crate) const MAX_USAGE_COUNTS: usize =
    (MAX_MESSAGE_BYTES - USAGE_HEADER_BYTES) / USAGE_COUNT_BYTES;

/// The name by which health reports call a server. Two servers may share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ShortServerId(pub(crate) u16);

/// The short name of a server.
pub(crate) fn short_id(server: ServerId) -> ShortServerId {
    ShortServerId((fibonacci_hash(server.0) >> 48) as u16)
}

/// A server as the sender sees it for one class.
pub(crate) struct HealthReport {
    pub(crate) server: ShortServerId,
    pub(crate) class: ClassId,
    pub(crate) failure_rate: f64,
    /// µs of wait for one place, 0 while unknown.
    pub(crate) wait: f64,
    /// Requests that it has in flight, if that is known.
    pub(crate) load: Option<f64>,
    /// µs since it was observed.
    pub(crate) age: Duration,
}

/// How the fleet fares as the sender sees it; rides on lease requests and answers.
#[derive(Default)]
pub(crate) struct GossipDigest {
    /// Answers a second at one gateway.
    pub(crate) throughput: f64,
    /// By class: mean latency relative to the latency objective; `None` while unknown.
    pub(crate) latency_ratios: Vec<Option<f64>>,
    pub(crate) reports: Vec<HealthReport>,
}

/// A customer's usage: the sender's running count of units, in steps of which sender and recipient agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UsageCount {
    pub(crate) customer: CustomerId,
    pub(crate) count: u16,
}

/// Usage counts, broadcast to all peers.
pub(crate) struct UsageCounts {
    /// When the sender started, in ms.
    pub(crate) incarnation: u32,
    pub(crate) counts: Vec<UsageCount>,
}

/// What is left of an ended lease, by the lease request that it was granted under.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReturnedLease {
    pub(crate) sequence: u16,
    pub(crate) units: f64,
}

/// A request that asks one of its customer's quota owners for its units, and for a lease beyond them.
pub(crate) struct LeaseRequest {
    pub(crate) sequence: u16,
    pub(crate) customer: CustomerId,
    pub(crate) plan: PlanId,
    pub(crate) gateways: GatewaySet,
    /// Which of the customer's owners is meant.
    pub(crate) owner_index: u32,
    pub(crate) units: f64,
    /// Units that the sender is likely to use beyond this request's within a lease's lifetime.
    pub(crate) requested_units: f64,
    pub(crate) returned: ReturnedLease,
}

/// An owner's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseDecision {
    Granted,
    QuotaExceeded,
}

/// What an owner answers.
#[derive(Clone, Copy)]
pub(crate) struct LeaseGrant {
    pub(crate) decision: LeaseDecision,
    /// The share of the customer's requests that may ask.
    pub(crate) request_probability: f64,
    pub(crate) leased_units: f64,
}

impl LeaseGrant {
    /// What stands in for an answer that can't be had.
    pub(crate) const REJECTED: LeaseGrant = LeaseGrant {
        decision: LeaseDecision::QuotaExceeded,
        request_probability: 1.0,
        leased_units: 0.0,
    };
}

/// An owner's answer to one lease request.
#[derive(Clone, Copy)]
pub(crate) struct LeaseAnswer {
    pub(crate) sequence: u16,
    pub(crate) grant: LeaseGrant,
}

/// Releases the concurrency permit that was granted under a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PermitRelease {
    pub(crate) sequence: u16,
    pub(crate) customer: CustomerId,
}

/// A message between two gateways.
pub(crate) enum Message {
    UsageCounts(UsageCounts),
    LeaseRequest(LeaseRequest, GossipDigest),
    LeaseAnswer(LeaseAnswer, GossipDigest),
    PermitRelease(PermitRelease),
}

#[cfg(test)]
#[path = "../../tests/unit/message.rs"]
mod tests;
