//! Tests of the reconnect policy, without sockets or a clock. They simulate all short sequences of
//! events that can delay the next attempt, and check the longest time for which a change at
//! discovery waits for an attempt.

use gateway_core::reconnect::{first_list_timeout, ReconnectPolicy, WatchEvent, WatchFailure};
use std::time::Duration;

/// Time within which an edge node has to know a change at discovery, as the platform requires.
const CHANGE_KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// Part of that time that is reserved for the successful attempt and for reading its list.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Smallest difference between two times.
const TIME_RESOLUTION: Duration = Duration::from_nanos(1);
/// Drain graces, from zero to one at which all upper bounds apply.
const DRAIN_GRACES: [Duration; 7] = [
    Duration::ZERO,
    Duration::from_micros(1),
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(20),
    Duration::from_secs(600),
];
/// Number of steps in a sequence; longer sequences reach no further states.
const STEPS: u32 = 5;

/// A step of a simulation. Late events arrive just before the deadline of the watch, and late
/// failures happen at the deadline; all others happen immediately.
#[derive(Clone, Copy, Debug)]
enum Step {
    Receives(WatchEvent),
    ReceivesLate(WatchEvent),
    Fails(WatchFailure),
    FailsLate(WatchFailure),
    AddressChanges,
}

const ALL_STEPS: [Step; 11] = [
    Step::Receives(WatchEvent::Heartbeat),
    Step::Receives(WatchEvent::PartialList),
    Step::Receives(WatchEvent::List),
    Step::ReceivesLate(WatchEvent::Heartbeat),
    Step::ReceivesLate(WatchEvent::PartialList),
    Step::ReceivesLate(WatchEvent::List),
    Step::Fails(WatchFailure::ConnectionLost),
    Step::Fails(WatchFailure::Rejected),
    Step::FailsLate(WatchFailure::ConnectionLost),
    Step::FailsLate(WatchFailure::Rejected),
    Step::AddressChanges,
];

/// A client of discovery, from its first watch on.
#[derive(Clone)]
struct Simulation {
    policy: ReconnectPolicy,
    now: Duration,
    has_received_list: bool,
    /// The latest time at which a change at discovery would have become known: the start of an
    /// attempt that could have been answered, or an event on a watch that has received its list.
    last_known_at: Duration,
}

impl Simulation {
    fn new(grace: Duration) -> Simulation {
        let mut policy = ReconnectPolicy::new(grace);
        policy.attempt_started(Duration::ZERO);
        Simulation {
            policy,
            now: Duration::ZERO,
            has_received_list: false,
            last_known_at: Duration::ZERO,
        }
    }

    /// Takes a step, and returns the longest time that a change at discovery may have to wait for
    /// the next attempt.
    fn step(&mut self, step: Step, jitter: f64) -> Duration {
        let last = self
            .policy
            .deadline()
            .saturating_sub(TIME_RESOLUTION)
            .max(self.now);
        match step {
            Step::Receives(event) => self.receive(event),
            Step::ReceivesLate(event) => {
                self.now = last;
                self.receive(event);
            }
            Step::Fails(failure) => return self.fail(failure, jitter),
            Step::FailsLate(failure) => {
                self.now = self.policy.deadline().max(self.now);
                return self.fail(failure, jitter);
            }
            Step::AddressChanges => {
                self.policy.address_changed();
                return self.start_attempt();
            }
        }
        self.policy.deadline().saturating_sub(self.last_known_at)
    }

    fn receive(&mut self, event: WatchEvent) {
        self.policy.event_received(self.now, event);
        self.has_received_list |= event == WatchEvent::List;
        if self.has_received_list && event != WatchEvent::PartialList {
            self.last_known_at = self.now;
        }
    }

    fn fail(&mut self, failure: WatchFailure, jitter: f64) -> Duration {
        self.now = self
            .policy
            .attempt_failed(self.now, failure, jitter)
            .max(self.now);
        self.start_attempt()
    }

    fn start_attempt(&mut self) -> Duration {
        let waited = self.now - self.last_known_at;
        self.policy.attempt_started(self.now);
        self.has_received_list = false;
        self.last_known_at = self.now;
        waited
    }
}

/// Runs all sequences of this many steps, inspects the simulation and the longest wait after each
/// step, and returns the number of sequences.
fn run_all_sequences(
    simulation: &Simulation,
    steps: u32,
    inspect: &mut impl FnMut(&Simulation, Duration),
) -> u64 {
    if steps == 0 {
        return 1;
    }
    let run_rest = |(step, jitter): (Step, f64)| {
        let mut next = simulation.clone();
        let waited = next.step(step, jitter);
        inspect(&next, waited);
        run_all_sequences(&next, steps - 1, inspect)
    };
    ALL_STEPS
        .into_iter()
        .flat_map(|step| jitters(step).iter().map(move |jitter| (step, *jitter)))
        .map(run_rest)
        .sum()
}

/// Returns the jitter of the shortest and of the longest backoff if a step starts a backoff, and
/// one arbitrary jitter otherwise.
fn jitters(step: Step) -> &'static [f64] {
    match step {
        Step::Fails(_) | Step::FailsLate(_) => &[0.0, 1.0],
        _ => &[0.0],
    }
}

#[test]
fn next_attempt_starts_in_time_after_every_sequence_of_steps() {
    for grace in DRAIN_GRACES {
        let mut longest = Duration::ZERO;
        let sequences = run_all_sequences(&Simulation::new(grace), STEPS, &mut |_, waited| {
            longest = longest.max(waited);
        });
        assert!(sequences > 500_000, "only {sequences} sequences");
        assert!(
            longest < CHANGE_KNOWN_WITHIN - ANSWER_TIME,
            "a change waited {longest:?} with a drain grace of {grace:?}"
        );
    }
}

/// After every sequence of steps before a change, and after every failure of the first attempt
/// after the change, the second attempt starts in time.
#[test]
fn second_attempt_after_change_starts_in_time_if_first_fails() {
    for grace in DRAIN_GRACES {
        let mut longest = Duration::ZERO;
        run_all_sequences(&Simulation::new(grace), STEPS - 1, &mut |simulation, _| {
            // The change happens now, and the watch that is already open does not report it.
            let change = simulation.last_known_at.max(simulation.now);
            for open_watch_failure in [WatchFailure::ConnectionLost, WatchFailure::Rejected] {
                for first_attempt_failure in [
                    Step::Fails(WatchFailure::ConnectionLost),
                    Step::Fails(WatchFailure::Rejected),
                    Step::FailsLate(WatchFailure::ConnectionLost),
                ] {
                    let mut simulation = simulation.clone();
                    simulation.step(Step::FailsLate(open_watch_failure), 1.0);
                    simulation.step(first_attempt_failure, 1.0);
                    longest = longest.max(simulation.now - change);
                }
            }
        });
        assert!(
            longest < CHANGE_KNOWN_WITHIN - ANSWER_TIME,
            "a change waited {longest:?} with a drain grace of {grace:?}"
        );
    }
}

/// If a discovery agent sends heartbeats but no list, the edge node gives up the watch.
#[test]
fn heartbeats_do_not_extend_watch_without_list() {
    let mut policy = ReconnectPolicy::new(Duration::from_secs(20));
    let mut now = Duration::from_secs(1);
    policy.attempt_started(now);
    for _ in 0..20 {
        now = (now + Duration::from_millis(300)).min(policy.deadline());
        policy.event_received(now, WatchEvent::Heartbeat);
    }
    assert_eq!(policy.deadline(), Duration::from_secs(4));
    policy.event_received(now, WatchEvent::List);
    assert_eq!(policy.deadline(), now + Duration::from_secs(3));
}

#[test]
fn backoff_grows_with_failures_and_resets_after_stable_watch_or_new_address() {
    let mut policy = ReconnectPolicy::new(Duration::from_secs(20));
    let mut backoffs = Vec::new();
    let mut now = Duration::ZERO;
    for _ in 0..6 {
        policy.attempt_started(now);
        let next = policy.attempt_failed(now, WatchFailure::Rejected, 0.5);
        backoffs.push((next - now).as_millis());
        now = next;
    }
    assert_eq!(backoffs, [100, 200, 400, 800, 1000, 1000]);
    policy.attempt_started(now);
    let end = now + Duration::from_millis(1001);
    assert!(policy.was_stable(end));
    assert_eq!(
        (policy.attempt_failed(end, WatchFailure::ConnectionLost, 0.5) - end).as_millis(),
        100
    );
    policy.address_changed();
    policy.attempt_started(end);
    assert_eq!(
        (policy.attempt_failed(end, WatchFailure::ConnectionLost, 0.0) - end).as_millis(),
        50
    );
}

#[test]
fn list_is_read_within_half_the_drain_grace_after_lost_watch() {
    for grace in [100, 500, 2_000].map(Duration::from_millis) {
        let mut policy = ReconnectPolicy::new(grace);
        let mut now = Duration::ZERO;
        for _ in 0..10 {
            policy.attempt_started(now);
            // The largest jitter makes the backoff one and a half times as long. The list then
            // arrives within the answer timeout.
            let answer_timeout = policy.deadline() - now;
            let backoff = policy.attempt_failed(now, WatchFailure::ConnectionLost, 1.0) - now;
            assert!(answer_timeout + backoff < grace / 2, "{policy:?}");
            assert!(
                first_list_timeout(grace) >= answer_timeout,
                "the first-list timeout is shorter than the answer timeout"
            );
            now += answer_timeout + backoff;
        }
    }
}

/// Nine in ten restarted processes have to be ready within 10 s. The wait for the first list may
/// take only a small part of that time.
#[test]
fn first_list_timeout_is_at_most_two_seconds_for_every_drain_grace() {
    for grace in DRAIN_GRACES {
        assert!(first_list_timeout(grace) <= Duration::from_secs(2));
        let mut policy = ReconnectPolicy::new(grace);
        policy.attempt_started(Duration::ZERO);
        assert!(
            first_list_timeout(grace) >= policy.deadline(),
            "the first-list timeout is shorter than the answer timeout"
        );
    }
}
