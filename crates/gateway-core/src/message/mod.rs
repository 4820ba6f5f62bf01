//! Messages between gateways: their types, and their encoding in at most 256 bytes.
//!
//! The codec is written by hand, because gateways of two releases exchange messages: the layout
//! must not change with the types, as that of a serde codec would.

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

/// Id of a server in health reports: a 16-bit hash, which two servers may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ShortServerId(pub(crate) u16);

/// Returns the id of a server in health reports.
pub(crate) fn short_id(server: ServerId) -> ShortServerId {
    ShortServerId((fibonacci_hash(server.0) >> 48) as u16)
}

/// The sender's observations of one server for one class.
pub(crate) struct HealthReport {
    pub(crate) server: ShortServerId,
    pub(crate) class: ClassId,
    /// Fraction of attempts that fail, from 0 to 1.
    pub(crate) failure_rate: f64,
    /// Expected latency per concurrent request, in µs; 0 while unknown.
    pub(crate) latency_us: f64,
    /// Number of requests in flight at the server; `None` while unknown.
    pub(crate) load: Option<f64>,
    /// Time since the observation.
    pub(crate) age: Duration,
}

/// The sender's view of the fleet, attached to lease requests and lease responses.
#[derive(Default)]
pub(crate) struct GossipDigest {
    /// Mean number of answers per second at one gateway.
    pub(crate) throughput: f64,
    /// Latency ratio of each class: mean latency relative to the latency objective; `None` while
    /// unknown.
    pub(crate) latency_ratios: Vec<Option<f64>>,
    /// Health reports on servers. The encoding leaves out those that do not fit into a message.
    pub(crate) reports: Vec<HealthReport>,
}

/// Units that one step of a usage count represents; small enough to count fractions of units.
const USAGE_STEP: Units = Units::new(1.0 / 8.0);

/// Returns the usage count for this many forwarded units. It wraps around at 2^16 steps.
pub(crate) fn usage_count_of(forwarded: Units) -> u16 {
    (forwarded.as_f64() / USAGE_STEP.as_f64()).round() as u64 as u16
}

/// Returns the units that this many steps of a usage count represent.
pub(crate) fn units_of_usage_steps(steps: u16) -> Units {
    Units::new(f64::from(steps) * USAGE_STEP.as_f64())
}

/// The usage of one customer: the units that the sender has forwarded, as a running count of steps
/// of [`USAGE_STEP`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UsageCount {
    pub(crate) customer: CustomerId,
    /// Running count of steps, which wraps around.
    pub(crate) count: u16,
}

/// Usage counts that are broadcast to all peers. A message without counts is a heartbeat.
pub(crate) struct UsageCounts {
    /// Start time of the sender, in milliseconds modulo 2^32.
    pub(crate) incarnation: u32,
    /// Counts of the customers whose usage rose recently.
    pub(crate) counts: Vec<UsageCount>,
}

/// The unused rest of an ended lease.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReturnedLease {
    /// Sequence number of the lease request under which the lease was granted.
    pub(crate) sequence: u16,
    /// Units of the lease that were not used.
    pub(crate) units: Units,
}

/// Asks one of a customer's quota owners to decide on one request of the customer, and to grant a
/// lease on further units.
pub(crate) struct LeaseRequest {
    /// Sequence number, which the response repeats.
    pub(crate) sequence: u16,
    pub(crate) customer: CustomerId,
    pub(crate) plan: PlanId,
    /// The gateways that receive the customer's requests.
    pub(crate) gateways: GatewaySet,
    /// Index of the addressed owner among the customer's owners.
    pub(crate) owner_index: u32,
    /// Units of the customer's request.
    pub(crate) units: Units,
    /// Further units that the sender is likely to use within the lifetime of a lease.
    pub(crate) requested_units: Units,
    /// Unused rest of the sender's last lease.
    pub(crate) returned: ReturnedLease,
}

/// An owner's decision on the request for which the lease request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseDecision {
    /// The request may be sent.
    Granted,
    /// Units, concurrency permits or the hard limit do not allow the request.
    QuotaExceeded,
}

/// An owner's response to one lease request.
#[derive(Clone, Copy)]
pub(crate) struct LeaseResponse {
    /// Sequence number of the lease request.
    pub(crate) sequence: u16,
    /// Decision on the request for which the lease request was sent.
    pub(crate) decision: LeaseDecision,
    /// Probability with which a request of the customer may request a lease.
    pub(crate) lease_request_probability: f64,
    /// Further units that the sender of the lease request may use.
    pub(crate) leased_units: Units,
}

impl LeaseResponse {
    /// Returns a rejection that does not throttle further lease requests of the customer.
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
    /// Sequence number of the lease request.
    pub(crate) sequence: u16,
    pub(crate) customer: CustomerId,
}

/// A message between two gateways.
pub(crate) enum Message {
    /// States what the sender has forwarded.
    UsageCounts(UsageCounts),
    /// Requests a lease from a quota owner.
    LeaseRequest(LeaseRequest, GossipDigest),
    /// Responds to a lease request.
    LeaseResponse(LeaseResponse, GossipDigest),
    PermitRelease(PermitRelease),
}

#[cfg(test)]
#[path = "../../tests/unit/message.rs"]
mod tests;
