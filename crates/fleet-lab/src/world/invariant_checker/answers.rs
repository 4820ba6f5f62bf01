//! Checks of final answers, and records of requests that end without a final answer.

use super::InvariantChecker;
use crate::world::client_request::ClientRequest;
use crate::world::final_answer::FinalAnswer;
use crate::world::invariant::Invariant;
use crate::world::RequestNumber;
use gateway_core::Timestamp;

impl InvariantChecker {
    /// Records and checks a gateway's final answer. Returns whether the request was open.
    pub fn answered(&mut self, now: Timestamp, number: RequestNumber, answer: FinalAnswer) -> bool {
        let Some(record) = self.requests.get_mut(number.0 as usize) else {
            let problem = "an answer to what no client asked".to_owned();
            self.record_violation(now, Invariant::AnsweredTwice, problem);
            return false;
        };
        if !record.record_answer() {
            let problem = format!("request {} was answered after its end", number.0);
            self.record_violation(now, Invariant::AnsweredTwice, problem);
            return false;
        }
        let request = record.request.clone();
        let time = now.duration_since(record.arrived_at);
        self.statistics.answered(request.class, answer, time);
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
        // The answer makes the actual size known.
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
        let may_be_rejected = record.may_be_rejected(now, self.idempotency(request));
        let account = &mut self.accounts[request.customer];
        let is_half_unused = account.is_half_unused(now, request.estimated_units);
        self.count(now, request, |counts| {
            counts.rejected += 1;
            counts.rejected_within_quota += u64::from(!was_sent && is_half_unused);
        });
        if !may_be_rejected {
            let problem = format!("request {} refused, which may have run", number.0);
            self.record_violation(now, Invariant::Idempotency, problem);
        }
    }

    /// Records that the client disconnected. Returns whether the request was open.
    pub fn client_disconnected(&mut self, now: Timestamp, number: RequestNumber) -> bool {
        let Some(request) = self.close(number) else {
            return false;
        };
        self.count(now, &request, |counts| counts.disconnected += 1);
        true
    }

    /// Records that the gateway at which the request was open was killed.
    pub fn gateway_killed(&mut self, now: Timestamp, number: RequestNumber) {
        if let Some(request) = self.close(number) {
            self.count(now, &request, |counts| counts.gateway_killed += 1);
        }
    }

    /// Records that the time for a final answer has ended, which is a violation if the request is
    /// still open. Returns whether the request was open.
    pub fn answer_overdue(&mut self, now: Timestamp, number: RequestNumber) -> bool {
        let Some(request) = self.close(number) else {
            return false;
        };
        self.count(now, &request, |counts| counts.failed += 1);
        let problem = format!("request {} had no answer in time", number.0);
        self.record_violation(now, Invariant::AnswerMissing, problem);
        true
    }

    /// Closes a request. Returns the request if it was open.
    fn close(&mut self, number: RequestNumber) -> Option<ClientRequest> {
        let record = &mut self.requests[number.0 as usize];
        record.close().then(|| record.request.clone())
    }
}
