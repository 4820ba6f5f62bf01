//! Counts of what became of the requests of a simulation.

use serde::Serialize;

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RequestCounts {
    /// That arrived at a gateway.
    #[serde(rename = "came")]
    pub arrived: u64,
    /// Served within the latency objective.
    pub served: u64,
    /// Served later.
    pub late: u64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Rejected without an attempt while at least half of the customer's quota was unused.
    #[serde(rename = "refused_with_room")]
    pub rejected_within_quota: u64,
    /// Failed.
    pub failed: u64,
    /// Whose client disconnected first.
    #[serde(rename = "left")]
    pub disconnected: u64,
    /// Whose gateway was killed first.
    #[serde(rename = "died")]
    pub gateway_killed: u64,
    /// That no gateway accepted, as it was down.
    #[serde(rename = "unreached")]
    pub unreachable: u64,
}

impl RequestCounts {
    /// Adds other counts.
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

/// One second of a simulation.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SecondCounts {
    /// What became of requests in this second.
    #[serde(rename = "tries")]
    pub requests: RequestCounts,
    /// Units of the requests whose first attempt was sent.
    pub sent_units: f64,
    /// Those of them beyond quotas.
    #[serde(rename = "over_units")]
    pub over_quota_units: f64,
}
