//! When a watch on discovery is opened again, without sockets or a clock: every path that can put
//! off the next attempt, and for how long a change that discovery has waits on it.

use gateway_core::reconnect::{first_list_timeout, ReconnectPolicy, WatchEvent, WatchFailure};
use std::time::Duration;

/// The rule of the platform: a change counts as known to the edge node by then.
const CHANGE_KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// Left for the attempt that is answered, and for its list to be read.
const ANSWER_TIME: Duration = Duration::from_millis(500);
const JUST_BEFORE: Duration = Duration::from_nanos(1);
/// Graces for drains, from none to one that outlasts every bound.
const GRACES: [Duration; 7] = [
    Duration::ZERO,
    Duration::from_micros(1),
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(20),
    Duration::from_secs(600),
];
/// Steps that are tried in each order; with more the states only come again.
const STEPS: u32 = 5;

/// One step on a watch: an event, at once or at the last moment, or its end.
#[derive(Clone, Copy, Debug)]
enum Step {
    Receives(WatchEvent),
    ReceivesLate(WatchEvent),
    Fails(WatchFailure),
    FailsLate(WatchFailure),
    AddressChanges,
}

const ALL: [Step; 11] = [
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

/// A client of discovery in any state.
#[derive(Clone)]
struct Simulation {
    policy: ReconnectPolicy,
    now: Duration,
    list_received: bool,
    /// The last time at which a change would have arrived, had discovery had it: an attempt that
    /// could have been answered, or an event on a watch that has brought its list.
    last_known_at: Duration,
}

impl Simulation {
    fn new(grace: Duration) -> Simulation {
        let mut policy = ReconnectPolicy::new(grace);
        policy.attempt_started(Duration::ZERO);
        Simulation {
            policy,
            now: Duration::ZERO,
            list_received: false,
            last_known_at: Duration::ZERO,
        }
    }

    /// The longest that a change may have waited for the next attempt, once this step is done.
    fn step(&mut self, step: Step, jitter: f64) -> Duration {
        let last = self
            .policy
            .deadline()
            .saturating_sub(JUST_BEFORE)
            .max(self.now);
        match step {
            Step::Receives(event) => self.receives(event),
            Step::ReceivesLate(event) => {
                self.now = last;
                self.receives(event);
            }
            Step::Fails(failure) => return self.fails(failure, jitter),
            Step::FailsLate(failure) => {
                self.now = self.policy.deadline().max(self.now);
                return self.fails(failure, jitter);
            }
            Step::AddressChanges => {
                self.policy.address_changed();
                return self.start_attempt();
            }
        }
        self.policy.deadline().saturating_sub(self.last_known_at)
    }

    fn receives(&mut self, event: WatchEvent) {
        self.policy.event_received(self.now, event);
        self.list_received |= event == WatchEvent::List;
        if self.list_received && event != WatchEvent::PartialList {
            self.last_known_at = self.now;
        }
    }

    fn fails(&mut self, failure: WatchFailure, jitter: f64) -> Duration {
        self.now = self
            .policy
            .attempt_failed(self.now, failure, jitter)
            .max(self.now);
        self.start_attempt()
    }

    fn start_attempt(&mut self) -> Duration {
        let waited = self.now - self.last_known_at;
        self.policy.attempt_started(self.now);
        self.list_received = false;
        self.last_known_at = self.now;
        waited
    }
}

/// Runs all orders of steps and inspects each; returns their number.
fn in_all_orders(
    simulation: &Simulation,
    steps: u32,
    inspect: &mut impl FnMut(&Simulation, Duration),
) -> u64 {
    if steps == 0 {
        return 1;
    }
    let run_on = |(step, jitter): (Step, f64)| {
        let mut next = simulation.clone();
        let waited = next.step(step, jitter);
        inspect(&next, waited);
        in_all_orders(&next, steps - 1, inspect)
    };
    ALL.into_iter()
        .flat_map(|step| jitters(step).iter().map(move |jitter| (step, *jitter)))
        .map(run_on)
        .sum()
}

/// The jitter of the shortest and of the longest backoff, where there is one.
fn jitters(step: Step) -> &'static [f64] {
    match step {
        Step::Fails(_) | Step::FailsLate(_) => &[0.0, 1.0],
        _ => &[0.0],
    }
}

#[test]
fn no_order_of_events_puts_off_the_next_attempt_for_as_long_as_a_change_may_take() {
    for grace in GRACES {
        let mut longest = Duration::ZERO;
        let orders = in_all_orders(&Simulation::new(grace), STEPS, &mut |_, waited| {
            longest = longest.max(waited);
        });
        assert!(orders > 500_000, "{orders}");
        assert!(
            longest < CHANGE_KNOWN_WITHIN - ANSWER_TIME,
            "{longest:?} with a grace of {grace:?}"
        );
    }
}

/// Whatever happened until discovery had a change, and however one more attempt after that fails:
/// the next one is made in time.
#[test]
fn a_change_is_known_in_time_though_an_attempt_after_it_is_rejected_or_hangs() {
    for grace in GRACES {
        let mut longest = Duration::ZERO;
        in_all_orders(&Simulation::new(grace), STEPS - 1, &mut |simulation, _| {
            // The change comes now, and what is open from before says nothing of it.
            let change = simulation.last_known_at.max(simulation.now);
            for open in [WatchFailure::ConnectionLost, WatchFailure::Rejected] {
                for next in [
                    Step::Fails(WatchFailure::ConnectionLost),
                    Step::Fails(WatchFailure::Rejected),
                    Step::FailsLate(WatchFailure::ConnectionLost),
                ] {
                    let mut simulation = simulation.clone();
                    simulation.step(Step::FailsLate(open), 1.0);
                    simulation.step(next, 1.0);
                    longest = longest.max(simulation.now - change);
                }
            }
        });
        assert!(
            longest < CHANGE_KNOWN_WITHIN - ANSWER_TIME,
            "{longest:?} with a grace of {grace:?}"
        );
    }
}

/// An agent that sends heartbeats and no list is given up.
#[test]
fn heartbeats_do_not_keep_a_watch_that_brings_no_list() {
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
fn backoffs_grow_while_attempts_fail_and_start_anew_after_a_stable_watch() {
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
fn a_watch_that_fails_is_read_again_in_half_the_time_that_a_drain_leaves() {
    for grace in [100, 500, 2_000].map(Duration::from_millis) {
        let mut policy = ReconnectPolicy::new(grace);
        let mut now = Duration::ZERO;
        for _ in 0..10 {
            policy.attempt_started(now);
            // Jitter makes the backoff up to half as long again; the list comes within one answer.
            let answer_timeout = policy.deadline() - now;
            let backoff = policy.attempt_failed(now, WatchFailure::ConnectionLost, 1.0) - now;
            assert!(answer_timeout + backoff < grace / 2, "{policy:?}");
            assert!(
                first_list_timeout(grace) >= answer_timeout,
                "one answer at the least is waited for"
            );
            now += answer_timeout + backoff;
        }
    }
}

/// Nine in ten restarted processes are ready within 10 s: the wait for a first list is a small part
/// of that.
#[test]
fn a_new_process_waits_briefly_for_its_first_list_whatever_the_grace() {
    for grace in GRACES {
        assert!(first_list_timeout(grace) <= Duration::from_secs(2));
        let mut policy = ReconnectPolicy::new(grace);
        policy.attempt_started(Duration::ZERO);
        assert!(
            first_list_timeout(grace) >= policy.deadline(),
            "one answer at the least is waited for"
        );
    }
}
