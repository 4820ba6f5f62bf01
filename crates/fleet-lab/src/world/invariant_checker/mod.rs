//! The invariant checker of the simulation. It keeps its own records of every request and customer,
//! does not use the internals of the decision library, and sees the true state without delay.
//!
//! - `attempts` checks what gateways send: only requests of clients, not after the request's end,
//!   and in keeping with idempotency, drains and hard limits.
//! - `answers` checks that each request has exactly one final answer in time.
//! - This module holds the records, and the check of cold servers that crash.

mod answers;
mod attempts;

use crate::world::client_request::ClientRequest;
use crate::world::cold_start::ColdStartLoad;
use crate::world::customer_account::{CustomerAccount, CustomerPlan};
use crate::world::draining::DrainGrace;
use crate::world::invariant::{Invariant, Violations};
use crate::world::request_counts::RequestCounts;
use crate::world::request_record::{RequestRecord, SimulatedRequestRecord};
use crate::world::request_statistics::RequestStatistics;
use crate::world::{seconds_since_start, RequestNumber};
use gateway_core::DurationExt;
use gateway_core::{Endpoint, GatewayId, Idempotency, ServerId, Settings, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Simulated time after a client's timeout within which a final answer still counts as in time.
/// `hybrid` allows more, since its processes may have to wait for a CPU.
pub const ANSWER_GRACE: Duration = Duration::from_millis(8);
/// If more than this fraction of the calls came from gateways that knew of the start, the crash of
/// a cold server is a violation.
const MAX_START_KNOWN_FRACTION: f64 = 2.0 / 3.0;
/// Maximum number of violations of one invariant that are described.
const MAX_EXAMPLES: usize = 3;

/// An attempt that a gateway is about to send.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// Gateway that sends the attempt.
    pub gateway: GatewayId,
    /// Request that the attempt belongs to.
    pub request: RequestNumber,
    /// Endpoint of the server to which the attempt is sent.
    pub server: Endpoint,
    /// Time since which the gateway has known that the server is draining or gone; `None` if the
    /// gateway knows of no drain.
    pub draining_since: Option<Timestamp>,
}

/// Records of all requests and customers, and the violations found so far.
pub struct InvariantChecker {
    settings: Settings,
    drain_grace: DrainGrace,
    requests: Vec<SimulatedRequestRecord>,
    accounts: Vec<CustomerAccount>,
    /// Violations found so far, by invariant.
    pub violations: BTreeMap<Invariant, Violations>,
    /// Counts and waits of all requests.
    pub statistics: RequestStatistics,
}

impl InvariantChecker {
    /// Creates a checker without records. Requests refer to customers by their index in
    /// `customers`.
    ///
    /// # Errors
    /// An error if a histogram cannot be created.
    pub fn new(
        settings: Settings,
        drain_grace: Duration,
        customers: impl IntoIterator<Item = CustomerPlan>,
    ) -> anyhow::Result<InvariantChecker> {
        let accounts = customers
            .into_iter()
            .map(|customer| CustomerAccount::new(&settings, customer))
            .collect();
        Ok(InvariantChecker {
            statistics: RequestStatistics::new(&settings)?,
            settings,
            drain_grace: DrainGrace(drain_grace),
            requests: Vec::new(),
            accounts,
            violations: BTreeMap::new(),
        })
    }

    fn record_violation(&mut self, now: Timestamp, invariant: Invariant, description: String) {
        let violations = self.violations.entry(invariant).or_default();
        violations.count += 1;
        if violations.examples.len() < MAX_EXAMPLES {
            violations
                .examples
                .push(format!("{:.3} s: {description}", seconds_since_start(now)));
        }
    }

    fn count(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        count: impl Fn(&mut RequestCounts),
    ) {
        let plan = self.accounts[request.customer].plan;
        self.statistics.count(now, request.class, plan, count);
    }

    /// Returns the idempotency of the class of a request.
    fn idempotency(&self, request: &ClientRequest) -> Idempotency {
        self.settings.classes[request.class.0].idempotency
    }

    /// Counts a request that no gateway accepted.
    pub fn gateway_unreachable(&mut self, now: Timestamp, request: &ClientRequest) {
        self.count(now, request, |counts| counts.unreachable += 1);
    }

    /// Records a request that arrived at a gateway, and returns its number.
    pub fn request_arrived(&mut self, now: Timestamp, request: ClientRequest) -> RequestNumber {
        self.count(now, &request, |counts| counts.arrived += 1);
        self.requests.push(RequestRecord::new(now, request));
        RequestNumber(self.requests.len() as u64 - 1)
    }

    /// Records the crash of an overloaded cold server, which is a violation if more than two
    /// thirds of the calls came from gateways that knew of its start.
    pub fn server_crashed(&mut self, now: Timestamp, server: ServerId, load: ColdStartLoad) {
        if load.start_known_fraction > MAX_START_KNOWN_FRACTION {
            let ColdStartLoad { calls, budget, .. } = load;
            let age = load.age.as_seconds();
            let problem = format!(
                "server {} got {calls:.1} calls of {budget:.1} at {age:.2} s",
                server.0
            );
            self.record_violation(now, Invariant::ColdStart, problem);
        }
    }
}
