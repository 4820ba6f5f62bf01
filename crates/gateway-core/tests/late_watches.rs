//! Tests which late watches are kept, without sockets or a clock: watches are opened at the pace of
//! the reconnect policy, and discovery answers each of them after a fixed latency, or never.

use gateway_core::reconnect::late_watches::{surplus, MAX_LATE_WATCHES};
use gateway_core::reconnect::{ReconnectPolicy, WatchFailure};
use std::time::Duration;

/// Drain graces of deployments, and the shortest and longest ones that change the pace.
const DRAIN_GRACES: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(20),
];
/// Longest latency with which an answer is expected to be received.
const LONGEST_LATENCY: Duration = Duration::from_millis(4500);
/// Time within which the platform counts a change as known, whatever has failed before.
const CHANGE_KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// Longest latency with which a change is expected to be known within that time, although the watch
/// that is answered may be opened late.
const LONGEST_TIMELY_LATENCY: Duration = Duration::from_millis(2500);
const MILLISECOND: Duration = Duration::from_millis(1);

/// A discovery that answers no watch opened before `recovers_at`, and each later one after
/// `latency`.
#[derive(Clone, Copy)]
struct SlowDiscovery {
    recovers_at: Duration,
    latency: Duration,
}

impl SlowDiscovery {
    fn answers(self, opened_at: Duration, now: Duration) -> bool {
        opened_at >= self.recovers_at && now >= opened_at + self.latency
    }
}

/// A client that keeps late watches.
struct Simulation {
    policy: ReconnectPolicy,
    jitter: f64,
    late: Vec<Duration>,
    newest: Option<Duration>,
    next_attempt: Duration,
    most_late: usize,
}

impl Simulation {
    fn new(drain_grace: Duration, jitter: f64) -> Simulation {
        Simulation {
            policy: ReconnectPolicy::new(drain_grace),
            jitter,
            late: Vec::new(),
            newest: None,
            next_attempt: Duration::ZERO,
            most_late: 0,
        }
    }

    /// Runs until a watch is answered, at most until `end`. Returns the time of the answer.
    fn run(&mut self, discovery: SlowDiscovery, end: Duration) -> Option<Duration> {
        let mut now = Duration::ZERO;
        while now < end {
            let mut open = self.late.iter().chain(&self.newest);
            if open.any(|opened_at| discovery.answers(*opened_at, now)) {
                return Some(now);
            }
            self.step(now);
            now += MILLISECOND;
        }
        None
    }

    fn step(&mut self, now: Duration) {
        match self.newest {
            None if now >= self.next_attempt => {
                self.policy.attempt_started(now);
                self.newest = Some(now);
            }
            Some(opened_at) if now >= self.policy.deadline() => {
                self.newest = None;
                self.late.push(opened_at);
                while let Some(index) = surplus(&self.late, now) {
                    self.late.remove(index);
                }
                self.most_late = self.most_late.max(self.late.len());
                let failure = WatchFailure::ConnectionLost;
                self.next_attempt = self.policy.attempt_failed(now, failure, self.jitter);
            }
            _ => {}
        }
    }
}

/// Runs a simulation for each drain grace, jitter and latency, and inspects the time of the answer.
fn for_each_latency(recovers_at: Duration, inspect: impl Fn(SlowDiscovery, Duration, &Simulation)) {
    for drain_grace in DRAIN_GRACES {
        for jitter in [0.0, 0.5, 1.0] {
            for latency_ms in (0..=LONGEST_LATENCY.as_millis() as u64).step_by(50) {
                let latency = Duration::from_millis(latency_ms);
                let discovery = SlowDiscovery {
                    recovers_at,
                    latency,
                };
                let mut simulation = Simulation::new(drain_grace, jitter);
                let end = recovers_at + Duration::from_secs(60);
                let answered_at = simulation.run(discovery, end);
                let answered_at = answered_at
                    .unwrap_or_else(|| panic!("{latency:?} at a drain grace of {drain_grace:?}"));
                inspect(discovery, answered_at, &simulation);
            }
        }
    }
}

/// Guards against watches that are each given up before discovery answers.
#[test]
fn first_watch_is_kept_until_its_answer() {
    for_each_latency(Duration::ZERO, |discovery, answered_at, _| {
        assert!(answered_at <= discovery.latency + MILLISECOND);
    });
}

/// Guards against watches that are never answered and keep later ones from being kept until
/// their answer.
#[test]
fn answer_is_received_in_time_after_watches_without_answer() {
    for recovery_ms in [500, 2100, 8000, 8300] {
        let recovers_at = Duration::from_millis(recovery_ms);
        for_each_latency(recovers_at, |discovery, answered_at, _| {
            let waited = answered_at - recovers_at;
            if discovery.latency <= LONGEST_TIMELY_LATENCY {
                let bound = CHANGE_KNOWN_WITHIN;
                assert!(waited <= bound, "{waited:?} for {:?}", discovery.latency);
            }
        });
    }
}

#[test]
fn number_of_late_watches_is_bounded_and_old_ones_expire() {
    for_each_latency(Duration::from_secs(30), |_, _, simulation| {
        assert!(simulation.most_late <= MAX_LATE_WATCHES);
    });
    assert_eq!(surplus(&[], Duration::ZERO), None);
    assert_eq!(surplus(&[Duration::ZERO], Duration::from_secs(5)), None);
    assert_eq!(
        surplus(&[Duration::ZERO], Duration::from_millis(5001)),
        Some(0)
    );
}

/// Guards against an index that is computed from an empty list, which ends the process where
/// arithmetic is checked.
#[test]
fn no_late_watch_is_surplus_if_there_is_none() {
    assert_eq!(surplus(&[], Duration::from_secs(10)), None);
}
