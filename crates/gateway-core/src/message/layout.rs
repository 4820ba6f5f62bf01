//! The layout of encoded messages: versions, kinds, sizes and steps.

use std::time::Duration;

/// Version of the layout, the first byte of each message.
pub(super) const VERSION: u8 = 4;

/// Kind of usage counts, the second byte of a message.
pub(super) const KIND_USAGE: u8 = 0;
/// Kind of a lease request.
pub(super) const KIND_LEASE_REQUEST: u8 = 1;
/// Kind of a lease response.
pub(super) const KIND_LEASE_RESPONSE: u8 = 2;
/// Kind of a permit release.
pub(super) const KIND_PERMIT_RELEASE: u8 = 3;

/// A lease request was granted.
pub(super) const DECISION_GRANTED: u8 = 0;
/// A lease request was rejected.
pub(super) const DECISION_QUOTA_EXCEEDED: u8 = 1;

/// Maximum size of a message, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 256;
/// Size of version, kind and incarnation, in bytes.
const USAGE_HEADER_BYTES: usize = 6;
/// Size of a customer's id, in bytes.
pub(super) const CUSTOMER_BYTES: usize = 5;
/// Size of a customer's usage count, in bytes.
const USAGE_COUNT_BYTES: usize = CUSTOMER_BYTES + 2;
/// Size of a health report, in bytes.
pub(super) const HEALTH_REPORT_BYTES: usize = 6;

/// Steps into which one is divided in encoded latency ratios, units and throughputs.
pub(super) const FRACTION_STEPS: f64 = 16.0;
/// Microseconds of expected latency that one step of a health report stands for.
pub(super) const LATENCY_STEP_US: f64 = 8_000.0;
/// Age that one step of a health report stands for.
pub(super) const AGE_STEP: Duration = Duration::from_millis(32);
/// Stands for an unknown latency ratio or load.
pub(super) const UNKNOWN: u8 = 255;
/// Steps in which a failure rate is encoded.
pub(super) const FAILURE_RATE_STEPS: u8 = 31;
/// How many classes a message can name.
pub(super) const MAX_CLASSES: usize = 8;

/// How many customers' usage counts fit into one message.
pub(crate) const MAX_USAGE_COUNTS: usize =
    (MAX_MESSAGE_BYTES - USAGE_HEADER_BYTES) / USAGE_COUNT_BYTES;
