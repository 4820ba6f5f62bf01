//! The record of all requests of a run, and the check of the invariants. No input, no output, no clock.

use edge_node::{CustomerId, GatewayId, Micros, ServerId};
use serde::Serialize;
use std::collections::HashMap;
use std::sync::Arc;

/// A final answer is missing if it comes later than this after the client's timeout, µs: half a second, and
/// [`SOCKET_TOLERANCE`].
pub const ANSWER_GRACE: Micros = 550_000;
/// By this every time limit is longer on sockets, µs.
pub const SOCKET_TOLERANCE: Micros = 50_000;

/// A customer's quota over all nodes together, and by how much nodes may exceed it while they lack information.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Units beyond the quota that are tolerated at any time.
    pub tolerance: f64,
    /// Further units that are tolerated for each second since the first request.
    pub tolerance_per_s: f64,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The node at which it arrives.
    pub node: GatewayId,
    /// The customer whose request it is.
    pub customer: CustomerId,
    /// What it consumes of the quota.
    pub units: f64,
    /// Whether it must not run twice.
    pub is_non_idempotent: bool,
    /// How long the client waits, µs.
    pub timeout: Micros,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Served with what a server made for this request.
    Served,
    /// Served with something else.
    Forged,
    /// Rejected: sending the request again is harmless.
    Rejected,
    /// Failed.
    Failed,
}

#[derive(Debug)]
struct RequestRecord {
    request: ClientRequest,
    sent_at: Micros,
    /// An attempt has arrived at a server.
    has_arrived: bool,
    /// How many attempts began to run.
    executions: u32,
    answers: u32,
    /// One of the answers was late.
    is_late: bool,
}

/// How far the use of a quota is beyond it.
#[derive(Clone, Copy, Debug, Default)]
struct Excess {
    /// Units beyond the quota; negative within it.
    units: f64,
    /// Units that were tolerated then.
    tolerated: f64,
}

impl Excess {
    fn beyond_tolerance(&self) -> f64 {
        self.units - self.tolerated
    }
}

#[derive(Debug)]
struct QuotaUsage {
    quota: Quota,
    tokens: f64,
    updated_at: Micros,
    /// The greatest excess relative to its tolerance.
    peak: Option<Excess>,
}

impl QuotaUsage {
    fn new(quota: Quota, now: Micros) -> QuotaUsage {
        QuotaUsage { quota, tokens: quota.burst, updated_at: now, peak: None }
    }

    fn consume(&mut self, started_at: Micros, now: Micros, units: f64) {
        let seconds_since = |since: Micros| now.saturating_sub(since) as f64 / 1e6;
        let refilled = self.tokens + self.quota.rate * seconds_since(self.updated_at);
        self.tokens = refilled.min(self.quota.burst) - units;
        self.updated_at = now;
        let tolerated = self.quota.tolerance + self.quota.tolerance_per_s * seconds_since(started_at);
        let excess = Excess { units: -self.tokens, tolerated };
        if self.peak.is_none_or(|peak| excess.beyond_tolerance() > peak.beyond_tolerance()) {
            self.peak = Some(excess);
        }
    }
}

/// The result of checking one invariant.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct InvariantResult {
    /// The invariant.
    #[serde(rename = "rule")]
    pub invariant: &'static str,
    /// In how many cases it was checked.
    #[serde(rename = "looked_at")]
    pub checked: u64,
    /// In how many it was violated.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Further observations.
    #[serde(rename = "seen")]
    pub details: String,
}

/// The record of all requests of one run.
#[derive(Debug)]
pub struct Ledger {
    started_at: Micros,
    drain_grace: Micros,
    quotas: HashMap<CustomerId, QuotaUsage>,
    requests: HashMap<Arc<str>, RequestRecord>,
    /// Since when a node has known that a server is draining or gone, µs.
    draining_since: HashMap<(GatewayId, ServerId), Micros>,
    drains_received: u64,
    attempts_while_draining: u64,
    attempts_after_grace: u64,
    unknown_requests: u64,
    forged_answers: u64,
}

impl Ledger {
    /// An empty record. Times are in µs.
    pub fn new(
        now: Micros, drain_grace: Micros, quotas: impl IntoIterator<Item = (CustomerId, Quota)>,
    ) -> Ledger {
        let quotas = quotas.into_iter();
        Ledger {
            started_at: now,
            drain_grace,
            quotas: quotas.map(|(customer, quota)| (customer, QuotaUsage::new(quota, now))).collect(),
            requests: HashMap::new(),
            draining_since: HashMap::new(),
            drains_received: 0,
            attempts_while_draining: 0,
            attempts_after_grace: 0,
            unknown_requests: 0,
            forged_answers: 0,
        }
    }

    /// The first clients arrive now: the tolerance of quotas grows from here on.
    pub fn start(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// A client has sent a request. Ids are never used twice.
    pub fn request_sent(&mut self, now: Micros, id: Arc<str>, request: ClientRequest) {
        let record = RequestRecord {
            request,
            sent_at: now,
            has_arrived: false,
            executions: 0,
            answers: 0,
            is_late: false,
        };
        self.requests.insert(id, record);
    }

    /// An attempt has arrived at a server. Returns the units of its request; `None` if no client sent it.
    pub fn attempt_arrived(&mut self, now: Micros, id: &str, server: ServerId) -> Option<f64> {
        let Some(record) = self.requests.get_mut(id) else {
            self.unknown_requests += 1;
            return None;
        };
        let request = &record.request;
        if let Some(draining_since) = self.draining_since.get(&(request.node, server)) {
            self.attempts_while_draining += 1;
            let is_after_grace = now > draining_since + self.drain_grace + SOCKET_TOLERANCE;
            self.attempts_after_grace += u64::from(is_after_grace);
        }
        let is_first = !std::mem::replace(&mut record.has_arrived, true);
        if let Some(quota) = self.quotas.get_mut(&request.customer).filter(|_| is_first) {
            quota.consume(self.started_at, now, request.units);
        }
        Some(request.units)
    }

    /// An attempt has begun to run.
    pub fn execution_started(&mut self, id: &str) {
        if let Some(record) = self.requests.get_mut(id) {
            record.executions += 1;
        }
    }

    /// A client has received an answer.
    pub fn answered(&mut self, now: Micros, id: &str, answer: FinalAnswer) {
        let Some(record) = self.requests.get_mut(id) else {
            self.unknown_requests += 1;
            return;
        };
        record.answers += 1;
        record.is_late |= now > record.sent_at + record.request.timeout + ANSWER_GRACE;
        self.forged_answers += u64::from(answer == FinalAnswer::Forged);
    }

    /// A node has received from discovery that a server is ready, or that it is draining or gone.
    pub fn endpoint_received(&mut self, now: Micros, node: GatewayId, server: ServerId, is_ready: bool) {
        if is_ready {
            self.draining_since.remove(&(node, server));
            return;
        }
        let drains_received = &mut self.drains_received;
        self.draining_since.entry((node, server)).or_insert_with(|| {
            *drains_received += 1;
            now
        });
    }

    /// Checks all invariants, once all requests have ended.
    pub fn check(&self) -> Vec<InvariantResult> {
        vec![
            self.check_quotas(),
            self.check_answers(),
            self.check_idempotency(),
            self.check_drains(),
            self.check_origins(),
        ]
    }

    fn count(&self, condition: impl Fn(&RequestRecord) -> bool) -> u64 {
        self.requests.values().filter(|record| condition(record)).count() as u64
    }

    fn check_quotas(&self) -> InvariantResult {
        let peaks: Vec<Excess> = self.quotas.values().filter_map(|quota| quota.peak).collect();
        let by_excess =
            |one: &Excess, other: &Excess| one.beyond_tolerance().total_cmp(&other.beyond_tolerance());
        let Excess { units, tolerated } = peaks.iter().copied().max_by(by_excess).unwrap_or_default();
        InvariantResult {
            invariant: "quotas hold over all nodes together",
            checked: peaks.len() as u64,
            violations: peaks.iter().filter(|peak| peak.beyond_tolerance() > 0.0).count() as u64,
            details: format!("at the nearest {units:.1} units beyond one, {tolerated:.1} allowed for doubt"),
        }
    }

    fn check_answers(&self) -> InvariantResult {
        let missing = self.count(|record| record.answers == 0);
        let late = self.count(|record| record.is_late);
        let repeated = self.count(|record| record.answers > 1);
        InvariantResult {
            invariant: "one final answer each, in time",
            checked: self.requests.len() as u64,
            violations: self.count(|record| record.answers != 1 || record.is_late),
            details: format!("{missing} without, {late} late, {repeated} with more than one"),
        }
    }

    fn check_idempotency(&self) -> InvariantResult {
        let is_non_idempotent = |record: &RequestRecord| record.request.is_non_idempotent;
        let repeated = self.count(|record| !is_non_idempotent(record) && record.executions > 1);
        InvariantResult {
            invariant: "what is unsafe to repeat runs once",
            checked: self.count(|record| is_non_idempotent(record) && record.executions > 0),
            violations: self.count(|record| is_non_idempotent(record) && record.executions > 1),
            details: format!("{repeated} safe ones ran more than once"),
        }
    }

    fn check_drains(&self) -> InvariantResult {
        let within_grace = self.attempts_while_draining - self.attempts_after_grace;
        InvariantResult {
            invariant: "nothing new to a server that leaves",
            checked: self.drains_received,
            violations: self.attempts_after_grace,
            details: format!("{within_grace} attempts came within the grace"),
        }
    }

    fn check_origins(&self) -> InvariantResult {
        InvariantResult {
            invariant: "only what clients sent goes on, only what servers made comes back",
            checked: self.requests.len() as u64,
            violations: self.unknown_requests + self.forged_answers,
            details: format!("{} foreign, {} forged", self.unknown_requests, self.forged_answers),
        }
    }
}
