//! The invariant checker: the lab's own records of every request, server and customer. It knows nothing of the
//! internals of the decision module, and sees the true state without delay.

use super::client_request::ClientRequest;
use super::cold_start::ColdStartLoad;
use super::customer_account::{Charge, CustomerAccount, CustomerPlan};
use super::draining::DrainGrace;
use super::final_answer::FinalAnswer;
use super::invariant::{Invariant, Violations};
use super::request_counts::RequestCounts;
use super::request_record::{AttemptRecord, RequestRecord, SimulatedRequestRecord};
use super::request_statistics::RequestStatistics;
use super::usage_limit::Excess;
use super::{seconds_since_start, RequestNumber};
use crate::time::DurationExt;
use gateway_core::{
    AttemptNumber, AttemptOutcome, Endpoint, GatewayId, Idempotency, ServerId, Settings, Timestamp,
};
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

    /// A gateway sends an attempt to a server that it does not know.
    pub fn sent_to_unlisted_server(
        &mut self,
        now: Timestamp,
        gateway: GatewayId,
        server: ServerId,
    ) {
        let problem = format!(
            "gateway {} sent to server {}, which it was never told of",
            gateway.0, server.0
        );
        self.record_violation(now, Invariant::Drain, problem);
    }

    /// A gateway sends an attempt. Returns whether the request is open, so that the attempt may be carried out.
    pub fn attempt_sent(&mut self, now: Timestamp, sent: SentAttempt) -> bool {
        if !self.check_request_is_open(now, &sent) {
            return false;
        }
        self.check_idempotency(now, &sent);
        self.check_drain(now, &sent);
        let record = &mut self.requests[sent.request.0 as usize];
        let request = record.request.clone();
        let wait = now.duration_since(record.arrived_at);
        let is_first = record.add_attempt(AttemptRecord {
            server: sent.server,
            sent_at: now,
            is_in_flight: true,
            is_proved_unexecuted: false,
        });
        self.statistics.attempts += 1;
        if is_first {
            self.charge(now, &request, wait);
        }
        self.accounts[request.customer].attempt_sent();
        true
    }

    fn idempotency(&self, request: &ClientRequest) -> Idempotency {
        self.settings.classes[request.class.0].idempotency
    }

    fn check_request_is_open(&mut self, now: Timestamp, sent: &SentAttempt) -> bool {
        let (gateway, number) = (sent.gateway.0, sent.request.0);
        let problem = match self.requests.get(number as usize) {
            None => format!("gateway {gateway} sent what no client asked"),
            Some(record) if !record.is_open() => {
                format!("gateway {gateway} sent request {number} after its end")
            }
            Some(record)
                if record.attempts.len() >= self.settings.permissions.max_attempts as usize =>
            {
                format!("gateway {gateway} sent request {number} too often")
            }
            Some(_) => return true,
        };
        self.record_violation(now, Invariant::SentAfterEnd, problem);
        false
    }

    fn check_idempotency(&mut self, now: Timestamp, sent: &SentAttempt) {
        let record = &self.requests[sent.request.0 as usize];
        if !record.may_be_sent(now, &sent.server, self.idempotency(&record.request)) {
            let (gateway, number) = (sent.gateway.0, sent.request.0);
            let problem =
                format!("gateway {gateway} sent request {number} again, which may run twice");
            self.record_violation(now, Invariant::Idempotency, problem);
        }
    }

    fn check_drain(&mut self, now: Timestamp, sent: &SentAttempt) {
        let Some(draining_since) = sent.draining_since else {
            return;
        };
        if self.drain_grace.is_over(now, draining_since) {
            let (gateway, server) = (sent.gateway.0, sent.server.server.0);
            let late = now.duration_since(draining_since).as_millis();
            let problem =
                format!("gateway {gateway} sent to server {server} {late} ms after it left");
            self.record_violation(now, Invariant::Drain, problem);
        }
    }

    /// A request's first attempt consumes its customer's quota and hard limit.
    fn charge(&mut self, now: Timestamp, request: &ClientRequest, wait: Duration) {
        let units = request.estimated_units;
        let account = &mut self.accounts[request.customer];
        let customer = account.id.0;
        let Charge {
            is_within_quota,
            hard_limit_excess,
        } = account.charge(now, units);
        self.statistics
            .first_attempt_sent(now, wait, units, is_within_quota);
        if let Some(excess) = hard_limit_excess.filter(Excess::is_violation) {
            let problem = format!(
                "customer {customer} is {:.1} units beyond its ceiling",
                excess.units
            );
            self.record_violation(now, Invariant::HardLimit, problem);
        }
    }

    /// An attempt begins to run at a server.
    pub fn execution_started(&mut self, now: Timestamp, number: RequestNumber) {
        let record = &mut self.requests[number.0 as usize];
        record.execution_started();
        let record = &self.requests[number.0 as usize];
        let idempotency = self.idempotency(&record.request);
        if idempotency == Idempotency::NonIdempotent && record.is_executed_repeatedly() {
            self.record_violation(
                now,
                Invariant::Idempotency,
                format!("request {} ran twice", number.0),
            );
        }
    }

    /// An attempt ended, and its gateway is about to learn of it.
    pub fn attempt_finished(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
    ) {
        let record = &mut self.requests[number.0 as usize];
        let Some(attempt) = record.attempts.get_mut(attempt.0 as usize) else {
            return;
        };
        attempt.is_proved_unexecuted = matches!(
            outcome,
            AttemptOutcome::Overloaded | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        );
        if std::mem::replace(&mut attempt.is_in_flight, false) {
            self.accounts[record.request.customer].attempt_finished();
        }
    }

    /// A gateway gave a final answer; returns whether it was the request's first.
    pub fn answered(&mut self, now: Timestamp, number: RequestNumber, answer: FinalAnswer) -> bool {
        let Some(record) = self.requests.get_mut(number.0 as usize) else {
            let problem = "an answer to what no client asked".to_owned();
            self.record_violation(now, Invariant::AnsweredTwice, problem);
            return false;
        };
        if !record.answered() {
            let problem = format!("request {} was answered after its end", number.0);
            self.record_violation(now, Invariant::AnsweredTwice, problem);
            return false;
        }
        let request = record.request.clone();
        self.count_answer(now, number, &request, answer);
        true
    }

    fn count_answer(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        request: &ClientRequest,
        answer: FinalAnswer,
    ) {
        match answer {
            FinalAnswer::Served => self.count_served(now, number, request),
            FinalAnswer::Rejected => self.count_rejected(now, number, request),
            FinalAnswer::Failed => self.count(now, request, |counts| counts.failed += 1),
        }
    }

    fn count_served(&mut self, now: Timestamp, number: RequestNumber, request: &ClientRequest) {
        // The actual size becomes known with the answer.
        let correction = request.actual_units - request.estimated_units;
        self.accounts[request.customer].correct(now, correction);
        let latency_objective = self.settings.classes[request.class.0].latency_objective;
        if now <= self.requests[number.0 as usize].arrived_at + latency_objective {
            self.count(now, request, |counts| counts.served += 1);
        } else {
            self.count(now, request, |counts| counts.late += 1);
        }
    }

    fn count_rejected(&mut self, now: Timestamp, number: RequestNumber, request: &ClientRequest) {
        let record = &self.requests[number.0 as usize];
        let was_sent = !record.attempts.is_empty();
        let is_harmless = record.may_be_rejected(self.idempotency(request));
        let account = &mut self.accounts[request.customer];
        let is_half_unused = account.is_half_unused(now, request.estimated_units);
        self.count(now, request, |counts| {
            counts.rejected += 1;
            counts.rejected_within_quota += u64::from(!was_sent && is_half_unused);
        });
        if !is_harmless {
            let problem = format!("request {} refused, which may have run", number.0);
            self.record_violation(now, Invariant::Idempotency, problem);
        }
    }

    /// The client disconnected; returns whether the request was still open.
    pub fn client_disconnected(&mut self, now: Timestamp, number: RequestNumber) -> bool {
        let Some(request) = self.close(number) else {
            return false;
        };
        self.count(now, &request, |counts| counts.disconnected += 1);
        true
    }

    /// The gateway that held the request was killed.
    pub fn gateway_killed(&mut self, now: Timestamp, number: RequestNumber) {
        if let Some(request) = self.close(number) {
            self.count(now, &request, |counts| counts.gateway_killed += 1);
        }
    }

    /// The time for a final answer is over; returns whether there was none.
    pub fn answer_overdue(&mut self, now: Timestamp, number: RequestNumber) -> bool {
        let Some(request) = self.close(number) else {
            return false;
        };
        self.count(now, &request, |counts| counts.failed += 1);
        let problem = format!("request {} had no answer in time", number.0);
        self.record_violation(now, Invariant::AnswerMissing, problem);
        true
    }

    /// Closes a request; returns it if it was open.
    fn close(&mut self, number: RequestNumber) -> Option<ClientRequest> {
        let record = &mut self.requests[number.0 as usize];
        record.close().then(|| record.request.clone())
    }

    /// A cold server was overloaded until it crashed.
    pub fn server_crashed(&mut self, now: Timestamp, server: ServerId, load: ColdStartLoad) {
        if load.start_known_share > MAX_START_KNOWN_FRACTION {
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
