//! The layout of encoded messages: version, kinds, sizes and step sizes.

use std::time::Duration;

/// Version of the layout, the first byte of each message.
pub(super) const VERSION: u8 = 4;

/// Second byte of a message with usage counts.
pub(super) const KIND_USAGE: u8 = 0;
/// Second byte of a lease request.
pub(super) const KIND_LEASE_REQUEST: u8 = 1;
/// Second byte of a lease response.
pub(super) const KIND_LEASE_RESPONSE: u8 = 2;
/// Second byte of a permit release.
pub(super) const KIND_PERMIT_RELEASE: u8 = 3;

/// Encoded [`LeaseDecision::Granted`](super::LeaseDecision::Granted).
pub(super) const DECISION_GRANTED: u8 = 0;
/// Encoded [`LeaseDecision::QuotaExceeded`](super::LeaseDecision::QuotaExceeded).
pub(super) const DECISION_QUOTA_EXCEEDED: u8 = 1;

/// Maximum size of a message, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 256;
/// Size of the version, the kind and the incarnation, in bytes.
const USAGE_HEADER_BYTES: usize = 6;
/// Size of a customer's id, in bytes.
pub(super) const CUSTOMER_BYTES: usize = 5;
/// Size of a customer's id and usage count, in bytes.
const USAGE_COUNT_BYTES: usize = CUSTOMER_BYTES + 2;
/// Size of a health report, in bytes.
pub(super) const HEALTH_REPORT_BYTES: usize = 6;

/// Steps per 1 in encoded latency ratios, units and throughputs.
pub(super) const FRACTION_STEPS: f64 = 16.0;
/// Step size of an encoded expected latency, in µs.
pub(super) const LATENCY_STEP_US: f64 = 8_000.0;
/// Step size of the encoded age of a health report.
pub(super) const AGE_STEP: Duration = Duration::from_millis(32);
/// Encoding of an unknown latency ratio or load.
pub(super) const UNKNOWN: u8 = 255;
/// Number of steps of an encoded failure rate; the last step represents 1.
pub(super) const FAILURE_RATE_STEPS: u8 = 31;
/// Maximum number of classes that a message can state.
pub(super) const MAX_CLASSES: usize = 8;

/// Maximum number of usage counts in one message.
pub(crate) const MAX_USAGE_COUNTS: usize =
    (MAX_MESSAGE_BYTES - USAGE_HEADER_BYTES) / USAGE_COUNT_BYTES;
