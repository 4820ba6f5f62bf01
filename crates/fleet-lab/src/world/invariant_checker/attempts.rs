//! Checks of attempts: whether a gateway may send an attempt, and how often a request may run.

use super::{InvariantChecker, SentAttempt};
use crate::world::client_request::ClientRequest;
use crate::world::customer_account::Charge;
use crate::world::invariant::Invariant;
use crate::world::request_record::AttemptRecord;
use crate::world::usage_limit::Excess;
use crate::world::RequestNumber;
use gateway_core::{AttemptNumber, AttemptOutcome, GatewayId, Idempotency, ServerId, Timestamp};
use std::time::Duration;

impl InvariantChecker {
    /// Records and checks an attempt that a gateway sends. Returns `false`, and records no attempt,
    /// if no client sent the request, the request is closed, or all permitted attempts have been
    /// sent.
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
        self.statistics.attempt_sent(request.class);
        if is_first {
            self.charge(now, &request, wait);
        }
        self.accounts[request.customer].attempt_sent();
        true
    }

    /// Checks an attempt that is written to its connection. That may be long after the attempt was
    /// sent, if the connection had to be established first.
    pub fn attempt_written(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        attempt: AttemptNumber,
    ) {
        let record = &self.requests[number.0 as usize];
        if record.may_be_written(now, attempt, self.idempotency(&record.request)) {
            return;
        }
        let problem = format!(
            "attempt {} of request {} was written when it might run twice",
            attempt.0, number.0
        );
        self.record_violation(now, Invariant::Idempotency, problem);
    }

    /// Records a violation: a gateway sent an attempt to a server that discovery never listed to
    /// the gateway.
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

    /// Charges a request to the quota and the hard limit of its customer when the first attempt is
    /// sent, and checks the hard limit.
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

    /// Records that an attempt began to run at a server, and checks that the request, if it is
    /// non-idempotent, has not run before.
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

    /// Records the outcome of an attempt, just before the gateway learns of the outcome.
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
}
