//! What clients and servers have seen of each request, and the rules that are checked on it.

use super::schedule::{OutageKind, Schedule};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Deadline of every request.
pub(super) const DEADLINE: Duration = Duration::from_secs(3);
/// Time after the deadline within which the final answer is still in time.
const ANSWER_GRACE: Duration = Duration::from_millis(550);
/// Drain grace in the settings.
pub(super) const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Time from the first byte of a request after which the end of its connection cannot be a close
/// that crossed the request.
const CROSSING_TIME: Duration = Duration::from_millis(100);
/// Time after a client's close within which an attempt may still begin.
const CLOSE_GRACE: Duration = Duration::from_millis(100);
/// By how much the time that is passed to a server may exceed what the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Time that is added to every rule for this machine, on which the clients, the servers and the
/// process share the processors.
const MACHINE_TOLERANCE: Duration = Duration::from_millis(100);
/// Time after which the edge node must have noticed that a watch is silent: heartbeats come every
/// 2 s.
const SILENCE_NOTICED_AFTER: Duration = Duration::from_secs(3);
/// Time after a watch fell silent at which the changes that it missed count as known.
const MISSED_CHANGE_KNOWN_AFTER: Duration = Duration::from_secs(6);
/// Time that the edge node may need to open the next watch.
const WATCH_PACE: Duration = Duration::from_millis(200);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// A whole answer with this status arrived.
    Answered(u16),
    /// An answer arrived that was made for another request.
    Foreign,
    /// The connection ended without a whole answer.
    ConnectionEnded,
    /// No answer arrived within the deadline and its grace.
    NoAnswer,
    /// The client closed the connection.
    ClientLeft,
}

/// An attempt that arrived at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) server: usize,
    /// When the first byte arrived.
    pub(super) at: Instant,
    /// Time that the edge node says it will wait.
    pub(super) told_deadline: Duration,
}

/// A request of a client.
#[derive(Debug)]
struct Request {
    is_safe: bool,
    first_byte_at: Instant,
    last_byte_at: Option<Instant>,
    ending: Option<(Ending, Instant)>,
    attempts: Vec<Attempt>,
}

/// A rule that was broken, with the trace of the request.
#[derive(Clone, Debug)]
pub(super) struct Violation {
    rule: &'static str,
    began_at: Instant,
    pub(super) trace: String,
}

impl Violation {
    /// Returns the broken rules, with the number of requests that broke each and the earliest.
    pub(super) fn by_rule(violations: &[Violation]) -> Vec<(&'static str, usize, &Violation)> {
        let mut by_rule: BTreeMap<&'static str, (usize, &Violation)> = BTreeMap::new();
        for violation in violations {
            let entry = by_rule.entry(violation.rule).or_insert((0, violation));
            entry.0 += 1;
            if violation.began_at < entry.1.began_at {
                entry.1 = violation;
            }
        }
        let row = |(rule, (count, first))| (rule, count, first);
        by_rule.into_iter().map(row).collect()
    }
}

/// The records of a run.
#[derive(Default)]
pub(super) struct Records {
    requests: RefCell<HashMap<String, Request>>,
}

impl Records {
    pub(super) fn request_begins(&self, id: &str, is_safe: bool) {
        let request = Request {
            is_safe,
            first_byte_at: Instant::now(),
            last_byte_at: None,
            ending: None,
            attempts: Vec::new(),
        };
        self.requests.borrow_mut().insert(id.to_owned(), request);
    }

    pub(super) fn request_written(&self, id: &str) {
        self.update(id, |request| request.last_byte_at = Some(Instant::now()));
    }

    pub(super) fn request_ended(&self, id: &str, ending: Ending) {
        self.update(id, |request| {
            request.ending = Some((ending, Instant::now()));
        });
    }

    pub(super) fn attempt_arrived(&self, id: &str, attempt: Attempt) {
        self.update(id, |request| request.attempts.push(attempt));
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            change(request);
        }
    }

    /// Returns the number of requests by their ending; requests that have not ended are left out.
    pub(super) fn counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for request in self.requests.borrow().values() {
            if let Some((ending, _)) = request.ending {
                *counts.entry(format!("{ending:?}")).or_default() += 1;
            }
        }
        counts
    }

    /// Checks all rules. `started_at` is the start of the load; `killed_at` is the time at which
    /// the process was killed, if it had not exited before.
    pub(super) fn violations(
        &self,
        schedule: &Schedule,
        started_at: Instant,
        killed_at: Option<Instant>,
    ) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (id, request) in self.requests.borrow().iter() {
            let mut broken = Vec::new();
            broken.extend(request.check_ending(killed_at));
            broken.extend(request.check_attempts());
            broken.extend(request.check_drain(schedule, started_at));
            violations.extend(broken.into_iter().map(|rule| Violation {
                rule,
                began_at: request.first_byte_at,
                trace: request.trace(id, started_at),
            }));
        }
        violations
    }
}

/// Returns the time by which a change must be known that an open watch has missed because it fell
/// silent at the start of the outage; zero if no watch can still be open.
fn missed_change_known_at(schedule: &Schedule) -> Duration {
    let outage = schedule.outage;
    let falls_silent = schedule.outage_kind != OutageKind::Closing;
    let is_unnoticed = schedule.removal < outage.from + SILENCE_NOTICED_AFTER;
    if falls_silent && is_unnoticed {
        outage.from + MISSED_CHANGE_KNOWN_AFTER
    } else {
        Duration::ZERO
    }
}

impl Request {
    fn check_ending(&self, killed_at: Option<Instant>) -> Option<&'static str> {
        let last_byte_at = self.last_byte_at?;
        let (ending, at) = self.ending?;
        match ending {
            Ending::Foreign => Some("an answer was made for another request"),
            Ending::NoAnswer => Some("no answer in time"),
            Ending::Answered(_) if at > last_byte_at + DEADLINE + ANSWER_GRACE => {
                Some("no answer in time")
            }
            Ending::ConnectionEnded if self.is_lost(at, killed_at) => {
                Some("connection closed without an answer")
            }
            _ => None,
        }
    }

    /// Returns whether the end of the connection at `at` lost the request.
    fn is_lost(&self, at: Instant, killed_at: Option<Instant>) -> bool {
        let is_excused = killed_at.is_some_and(|kill| at >= kill)
            && self.attempts.is_empty()
            && self.first_byte_at + CROSSING_TIME > at;
        let has_crossed = at < self.first_byte_at + CROSSING_TIME && self.attempts.is_empty();
        !is_excused && !has_crossed
    }

    fn check_attempts(&self) -> Vec<&'static str> {
        let mut broken = Vec::new();
        // Each server begins to run a request as soon as it has arrived.
        if !self.is_safe && self.attempts.len() > 1 {
            broken.push("an unsafe request ran twice");
        }
        if let Some((Ending::ClientLeft, left_at)) = self.ending {
            let limit = left_at + CLOSE_GRACE + MACHINE_TOLERANCE;
            if self.attempts.iter().any(|attempt| attempt.at > limit) {
                broken.push("an attempt began after the client had left");
            }
        }
        if let Some(last_byte_at) = self.last_byte_at {
            let limit = last_byte_at + DEADLINE + DEADLINE_SLACK;
            let exceeds = |attempt: &Attempt| attempt.at + attempt.told_deadline > limit;
            if self.attempts.iter().any(exceeds) {
                broken.push("a server was told more time than the client has left");
            }
        }
        broken
    }

    fn check_drain(&self, schedule: &Schedule, started_at: Instant) -> Option<&'static str> {
        // A watch may be opened up to a third of the latency late, if earlier ones are unanswered.
        let answer = (schedule.latency + schedule.list_duration).mul_f64(1.7);
        let pushed_at = schedule.removal + WATCH_PACE + answer;
        let known_at = started_at + pushed_at.max(missed_change_known_at(schedule));
        let limit = known_at + DRAIN_GRACE + MACHINE_TOLERANCE;
        let is_late = |attempt: &Attempt| {
            attempt.server < super::schedule::SERVER_COUNT / 2 && attempt.at > limit
        };
        let is_broken = self.attempts.iter().any(is_late);
        is_broken.then_some("an attempt was sent to a removed server")
    }

    fn trace(&self, id: &str, started_at: Instant) -> String {
        let seconds = |at: Instant| at.saturating_duration_since(started_at).as_secs_f64();
        let mut trace = vec![format!("{id} began {:.3}", seconds(self.first_byte_at))];
        if let Some(at) = self.last_byte_at {
            trace.push(format!("written {:.3}", seconds(at)));
        }
        for attempt in &self.attempts {
            let Attempt {
                server,
                told_deadline,
                ..
            } = attempt;
            let at = seconds(attempt.at);
            trace.push(format!("at s-{server} {at:.3} (told {told_deadline:?})"));
        }
        if let Some((ending, at)) = self.ending {
            trace.push(format!("{ending:?} {:.3}", seconds(at)));
        }
        trace.join(", ")
    }
}
