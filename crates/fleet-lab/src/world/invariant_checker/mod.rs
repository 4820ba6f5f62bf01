//! The invariant checker of the simulation: the lab's own records of every request and customer. It knows nothing of
//! the internals of the decision library, and sees the true state without delay.
//!
//! - `attempts` checks what gateways send: only what a client asked for and before the request's end, idempotency,
//!   drains and hard limits.
//! - `answers` checks that each request has one final answer in time.
//! - Here are the records, and the check of servers that crash after their start.

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

/// Simulated time after a request's timeout in which its final answer is still in time. On sockets it is longer, as
/// processes have to wait for the processor there.
pub const ANSWER_GRACE: Duration = Duration::from_millis(8);
/// Above this fraction of calls from gateways that knew of the start, the crash of a cold server is their fault.
const MAX_START_KNOWN_FRACTION: f64 = 2.0 / 3.0;
/// Violations of one invariant that are described.
const MAX_EXAMPLES: usize = 3;

/// An attempt that a gateway is about to send.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// The gateway.
    pub gateway: GatewayId,
    /// The request.
    pub request: RequestNumber,
    /// The server.
    pub server: Endpoint,
    /// Since when the gateway has known that the server is draining or gone.
    pub draining_since: Option<Timestamp>,
}

/// The invariant checker.
pub struct InvariantChecker {
    settings: Settings,
    drain_grace: DrainGrace,
    requests: Vec<SimulatedRequestRecord>,
    accounts: Vec<CustomerAccount>,
    /// Violations by invariant.
    pub violations: BTreeMap<Invariant, Violations>,
    /// What became of all requests.
    pub statistics: RequestStatistics,
}

impl InvariantChecker {
    /// A checker without records; requests name customers by their index here.
    ///
    /// # Errors
    /// If the histogram of waits cannot be made.
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

    /// Whether and how requests of this class may be repeated.
    fn idempotency(&self, request: &ClientRequest) -> Idempotency {
        self.settings.classes[request.class.0].idempotency
    }

    /// No gateway accepted a request.
    pub fn gateway_unreachable(&mut self, now: Timestamp, request: &ClientRequest) {
        self.count(now, request, |counts| counts.unreachable += 1);
    }

    /// A request arrived at a gateway.
    pub fn request_arrived(&mut self, now: Timestamp, request: ClientRequest) -> RequestNumber {
        self.count(now, &request, |counts| counts.arrived += 1);
        self.requests.push(RequestRecord::new(now, request));
        RequestNumber(self.requests.len() as u64 - 1)
    }

    /// A cold server was overloaded until it crashed.
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
