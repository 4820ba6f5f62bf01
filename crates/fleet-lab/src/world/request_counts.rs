//! Counts of requests by how they ended.

use serde::Serialize;

/// Number of requests that arrived, and how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RequestCounts {
    /// Requests that arrived at a gateway.
    #[serde(rename = "came")]
    pub arrived: u64,
    /// Requests served within the latency objective of their class.
    pub served: u64,
    /// Requests served after the latency objective.
    pub late: u64,
    /// Requests that a gateway rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests rejected without an attempt while at least half of the customer's quota was unused.
    #[serde(rename = "refused_with_room")]
    pub rejected_within_quota: u64,
    /// Requests that failed or had no answer in time.
    pub failed: u64,
    /// Requests whose client disconnected first.
    #[serde(rename = "left")]
    pub disconnected: u64,
    /// Requests whose gateway was killed first.
    #[serde(rename = "died")]
    pub gateway_killed: u64,
    /// Requests that no gateway accepted, because the chosen gateway or all gateways of the
    /// customer were down.
    #[serde(rename = "unreached")]
    pub unreachable: u64,
}

impl RequestCounts {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &RequestCounts) {
        self.arrived += other.arrived;
        self.served += other.served;
        self.late += other.late;
        self.rejected += other.rejected;
        self.rejected_within_quota += other.rejected_within_quota;
        self.failed += other.failed;
        self.disconnected += other.disconnected;
        self.gateway_killed += other.gateway_killed;
        self.unreachable += other.unreachable;
    }
}

/// Counts of one second of a simulation.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SecondCounts {
    /// Requests that arrived or ended in this second.
    #[serde(rename = "tries")]
    pub requests: RequestCounts,
    /// Units of the requests whose first attempt was sent in this second.
    pub sent_units: f64,
    /// The part of `sent_units` that is beyond quotas.
    #[serde(rename = "over_units")]
    pub over_quota_units: f64,
}
