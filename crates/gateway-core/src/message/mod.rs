//! Messages between gateways: their types, and their layout in at most 256 bytes.
//!
//! The layout is written by hand: gateways of two releases exchange messages, so it must not follow
//! the types as a serde codec's would.

mod decode;
mod encode;
mod layout;

pub(crate) use decode::decode;
pub(crate) use encode::encode;
pub(crate) use layout::MAX_USAGE_COUNTS;

use crate::hash::fibonacci_hash;
use crate::types::{ClassId, CustomerId, GatewaySet, PlanId, ServerId};
use crate::units::Units;
use std::time::Duration;

/// The short name of a server in health reports. Two servers may share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ShortServerId(pub(crate) u16);

/// The short name of a server.
pub(crate) fn short_id(server: ServerId) -> ShortServerId {
    ShortServerId((fibonacci_hash(server.0) >> 48) as u16)
}

/// A server as the sender sees it for one class.
pub(crate) struct HealthReport {
    /// The server.
    pub(crate) server: ShortServerId,
    /// The class of requests.
    pub(crate) class: ClassId,
    /// Fraction of attempts that fail, 0 to 1.
    pub(crate) failure_rate: f64,
    /// Expected latency per concurrent request, in µs; 0 while unknown.
    pub(crate) latency_us: f64,
    /// Requests that it has in flight, if that is known.
    pub(crate) load: Option<f64>,
    /// Time since it was observed.
    pub(crate) age: Duration,
}

/// How the fleet is doing as the sender sees it; appended to lease requests and responses.
#[derive(Default)]
pub(crate) struct GossipDigest {
    /// Answers a second at one gateway.
    pub(crate) throughput: f64,
    /// By class: mean latency relative to the latency objective; `None` while unknown.
    pub(crate) latency_ratios: Vec<Option<f64>>,
    /// Reports on servers.
    pub(crate) reports: Vec<HealthReport>,
}

/// Units by which a usage count rises in one step, so that fractions of units are counted too.
const USAGE_STEP: Units = Units::new(1.0 / 8.0);

/// The running count that stands for so many forwarded units; it wraps round.
pub(crate) fn usage_count_of(forwarded: Units) -> u16 {
    (forwarded.as_f64() / USAGE_STEP.as_f64()).round() as u64 as u16
}

/// The units that a usage count rose by in so many steps.
pub(crate) fn units_of_usage_steps(steps: u16) -> Units {
    Units::new(f64::from(steps) * USAGE_STEP.as_f64())
}

/// A customer's usage: the sender's running count of units, in steps on which sender and recipient
/// agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UsageCount {
    /// The customer.
    pub(crate) customer: CustomerId,
    /// The running count; it wraps round.
    pub(crate) count: u16,
}

/// Usage counts, broadcast to all peers; also without any, as a heartbeat.
pub(crate) struct UsageCounts {
    /// When the sender started, in ms.
    pub(crate) incarnation: u32,
    /// The customers whose usage rose recently.
    pub(crate) counts: Vec<UsageCount>,
}

/// What remains of an ended lease, by the lease request that it was granted under.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReturnedLease {
    /// Sequence number of that lease request.
    pub(crate) sequence: u16,
    /// Units that were not used.
    pub(crate) units: Units,
}

/// A request that asks one of its customer's quota owners for its units, and for a lease beyond
/// them.
pub(crate) struct LeaseRequest {
    /// Sequence number, for the response.
    pub(crate) sequence: u16,
    /// The customer.
    pub(crate) customer: CustomerId,
    /// The customer's plan.
    pub(crate) plan: PlanId,
    /// The gateways that the customer's requests come through.
    pub(crate) gateways: GatewaySet,
    /// Index of the owner that is asked among the customer's owners.
    pub(crate) owner_index: u32,
    /// Units of the request that asks.
    pub(crate) units: Units,
    /// Units that the sender is likely to use beyond this request's within a lease's lifetime.
    pub(crate) requested_units: Units,
    /// The rest of the sender's last lease.
    pub(crate) returned: ReturnedLease,
}

/// An owner's decision on a request's own units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseDecision {
    /// The request may be sent.
    Granted,
    /// Units, permits or the hard limit do not allow it.
    QuotaExceeded,
}

/// An owner's response to one lease request.
#[derive(Clone, Copy)]
pub(crate) struct LeaseResponse {
    /// The sequence number of the lease request.
    pub(crate) sequence: u16,
    /// What the owner decided.
    pub(crate) decision: LeaseDecision,
    /// Probability with which the customer's requests may ask.
    pub(crate) lease_request_probability: f64,
    /// Units that the sender of the lease request may use beyond the request's own.
    pub(crate) leased_units: Units,
}

impl LeaseResponse {
    /// A rejection that lets the customer's requests go on asking.
    pub(crate) const fn rejected(sequence: u16) -> Self {
        LeaseResponse {
            sequence,
            decision: LeaseDecision::QuotaExceeded,
            lease_request_probability: 1.0,
            leased_units: Units::ZERO,
        }
    }
}

/// Releases the concurrency permit that was granted under a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PermitRelease {
    /// Sequence number of that lease request.
    pub(crate) sequence: u16,
    /// The customer.
    pub(crate) customer: CustomerId,
}

/// A message between two gateways.
pub(crate) enum Message {
    /// What the sender has forwarded.
    UsageCounts(UsageCounts),
    /// Asks a quota owner.
    LeaseRequest(LeaseRequest, GossipDigest),
    /// Responds to a lease request.
    LeaseResponse(LeaseResponse, GossipDigest),
    /// Returns a concurrency permit.
    PermitRelease(PermitRelease),
}

#[cfg(test)]
#[path = "../../tests/unit/message.rs"]
mod tests;
