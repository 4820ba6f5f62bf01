//! The invariant checker for runs over sockets, which records all requests and checks the
//! invariants on the records. It performs no I/O and has no clock: callers pass in the time.
//!
//! Requests, usage limits and drains are recorded by the types of `world`, as in the simulation.
//! The checks differ from those of [`crate::world::invariant_checker`], because less can be
//! observed over sockets: an attempt is observed only when it arrives at a server and when the
//! server accepts it, a request stays open when its client gives up, and neither the attempt
//! outcomes that gateways learn nor the load of starting servers can be observed.

use super::invariant_result::InvariantResult;
use super::observed_request::{ObservedRequest, ReceivedAnswer, SentRequest};
use super::quotas::{CustomerQuota, QuotaUsage};
use crate::world::draining::{DrainGrace, DrainingServers};
use crate::world::request_record::RequestRecord;
use crate::world::usage_limit::Excess;
use gateway_core::{CustomerId, EndpointState, GatewayId, ServerId, Timestamp};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after the client's timeout within which a final answer is still in time: half a second plus
/// [`SOCKET_TOLERANCE`]. The simulation allows far less, because simulated time does not advance
/// while a gateway computes.
pub const ANSWER_GRACE: Duration = Duration::from_millis(550);
/// Time that is added to the drain grace, and included in [`ANSWER_GRACE`], for delays that do not
/// occur in the simulation.
pub const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);

/// Records of all requests of one run, on which the invariants are checked.
#[derive(Debug)]
pub struct SocketInvariantChecker {
    /// Time at which the tolerance of quotas begins to grow.
    started_at: Timestamp,
    drain_grace: DrainGrace,
    quotas: HashMap<CustomerId, QuotaUsage>,
    requests: HashMap<Arc<str>, ObservedRequest>,
    /// Servers that each node knows to be draining or gone.
    draining: HashMap<GatewayId, DrainingServers>,
    /// Number of times that a node learned that a server is draining or gone.
    drains_received: u64,
    /// Number of attempts to servers that the sending node knew to be draining or gone.
    attempts_while_draining: u64,
    /// Number of those attempts that arrived after the drain grace.
    attempts_after_grace: u64,
    /// Number of attempts and answers whose request no client sent.
    unknown_requests: u64,
    forged_answers: u64,
}

impl SocketInvariantChecker {
    /// Creates a checker that has recorded nothing; `quotas` holds the quota of each customer.
    pub fn new(
        now: Timestamp,
        drain_grace: Duration,
        quotas: impl IntoIterator<Item = CustomerQuota>,
    ) -> SocketInvariantChecker {
        let usage = |CustomerQuota { customer, quota }| (customer, QuotaUsage::new(quota, now));
        SocketInvariantChecker {
            started_at: now,
            drain_grace: DrainGrace(drain_grace + SOCKET_TOLERANCE),
            quotas: quotas.into_iter().map(usage).collect(),
            requests: HashMap::new(),
            draining: HashMap::new(),
            drains_received: 0,
            attempts_while_draining: 0,
            attempts_after_grace: 0,
            unknown_requests: 0,
            forged_answers: 0,
        }
    }

    /// Sets the time at which clients begin to send requests. The tolerance of quotas grows from
    /// that time.
    pub fn start(&mut self, now: Timestamp) {
        self.started_at = now;
    }

    /// Records that a client has sent a request. The id must not belong to an earlier request.
    pub fn request_sent(&mut self, now: Timestamp, id: Arc<str>, request: SentRequest) {
        let record = RequestRecord::new(now, request);
        self.requests.insert(
            id,
            ObservedRequest {
                record,
                is_late: false,
            },
        );
    }

    /// Records that an attempt has arrived at a server. Returns the units of its request; `None` if
    /// no client sent the request.
    pub fn attempt_arrived(&mut self, now: Timestamp, id: &str, server: ServerId) -> Option<f64> {
        let Some(ObservedRequest { record, .. }) = self.requests.get_mut(id) else {
            self.unknown_requests += 1;
            return None;
        };
        let is_first = record.add_attempt(server);
        let SentRequest {
            node,
            customer,
            units,
            ..
        } = record.request;
        self.count_attempt_while_draining(now, node, server);
        if let Some(quota) = self.quotas.get_mut(&customer).filter(|_| is_first) {
            quota.consume(self.started_at, now, units);
        }
        Some(units)
    }

    fn count_attempt_while_draining(&mut self, now: Timestamp, node: GatewayId, server: ServerId) {
        let draining_since = self
            .draining
            .get(&node)
            .and_then(|draining| draining.since(server));
        if let Some(draining_since) = draining_since {
            self.attempts_while_draining += 1;
            self.attempts_after_grace += u64::from(self.drain_grace.is_over(now, draining_since));
        }
    }

    /// Records that a server has accepted an attempt. The attempt counts as executed from then on,
    /// even if it is queued first.
    pub fn attempt_accepted(&mut self, id: &str) {
        if let Some(observed) = self.requests.get_mut(id) {
            observed.record.execution_started();
        }
    }

    /// Records an answer to a request. An answer to an unknown request, a late or further answer,
    /// and a forged answer are violations.
    pub fn answered(&mut self, now: Timestamp, id: &str, answer: ReceivedAnswer) {
        let Some(observed) = self.requests.get_mut(id) else {
            self.unknown_requests += 1;
            return;
        };
        let record = &mut observed.record;
        record.record_answer();
        observed.is_late |= now > record.arrived_at + record.request.timeout + ANSWER_GRACE;
        self.forged_answers += u64::from(answer == ReceivedAnswer::Forged);
    }

    /// Records that a node has received a server's state from discovery.
    pub fn endpoint_received(
        &mut self,
        now: Timestamp,
        node: GatewayId,
        server: ServerId,
        state: EndpointState,
    ) {
        let is_new_drain = self
            .draining
            .entry(node)
            .or_default()
            .state_received(now, server, state);
        self.drains_received += u64::from(is_new_drain);
    }

    /// Checks all invariants. A request that is still open counts as one without a final answer, so
    /// this must be called after all requests have ended.
    pub fn check(&self) -> Vec<InvariantResult> {
        vec![
            self.check_quotas(),
            self.check_answers(),
            self.check_idempotency(),
            self.check_drains(),
            self.check_origins(),
        ]
    }

    fn count_if(&self, condition: impl Fn(&ObservedRequest) -> bool) -> u64 {
        self.requests
            .values()
            .filter(|observed| condition(observed))
            .count() as u64
    }

    fn check_quotas(&self) -> InvariantResult {
        let peaks: Vec<Excess> = self.quotas.values().filter_map(QuotaUsage::peak).collect();
        let by_excess = |left: &Excess, right: &Excess| {
            left.beyond_tolerance().total_cmp(&right.beyond_tolerance())
        };
        let Excess { units, tolerated } =
            peaks.iter().copied().max_by(by_excess).unwrap_or_default();
        InvariantResult {
            invariant: "quotas hold over all nodes together",
            checked: peaks.len() as u64,
            violations: peaks.iter().filter(|peak| peak.is_violation()).count() as u64,
            details: format!(
                "at the nearest {units:.1} units beyond one, {tolerated:.1} allowed for doubt"
            ),
        }
    }

    fn check_answers(&self) -> InvariantResult {
        let is_missing = |observed: &ObservedRequest| observed.record.is_open();
        let is_repeated = |observed: &ObservedRequest| observed.record.is_answered_after_end();
        let missing = self.count_if(is_missing);
        let late = self.count_if(|observed| observed.is_late);
        let repeated = self.count_if(is_repeated);
        InvariantResult {
            invariant: "one final answer each, in time",
            checked: self.requests.len() as u64,
            violations: self.count_if(|observed| {
                is_missing(observed) || is_repeated(observed) || observed.is_late
            }),
            details: format!("{missing} without, {late} late, {repeated} with more than one"),
        }
    }

    fn check_idempotency(&self) -> InvariantResult {
        let is_non_idempotent =
            |observed: &ObservedRequest| observed.record.request.is_non_idempotent;
        let is_repeated = |observed: &ObservedRequest| observed.record.is_executed_repeatedly();
        let repeated =
            self.count_if(|observed| !is_non_idempotent(observed) && is_repeated(observed));
        InvariantResult {
            invariant: "what is unsafe to repeat runs once",
            checked: self
                .count_if(|observed| is_non_idempotent(observed) && observed.record.is_executed()),
            violations: self
                .count_if(|observed| is_non_idempotent(observed) && is_repeated(observed)),
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
            details: format!(
                "{} foreign, {} forged",
                self.unknown_requests, self.forged_answers
            ),
        }
    }
}
