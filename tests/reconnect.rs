//! When discovery is called again, without sockets or a clock: every path that can put the next call off, and what
//! a change that discovery has waits for on it.

use edge_node::reconnect::{first_list_in, Failure, Reconnect, Word};
use std::time::Duration;

/// What discovery has to tell counts as told by then.
const TOLD: Duration = Duration::from_secs(6);
/// Left for the call that is answered, and for its list to be read.
const ANSWER: Duration = Duration::from_millis(500);
const JUST_BEFORE: Duration = Duration::from_nanos(1);
/// Graces for drains in µs, from none to one that outlasts every bound.
const GRACES: [u64; 7] = [0, 1, 100_000, 500_000, 2_000_000, 20_000_000, 600_000_000];
/// Steps that are tried in each order; with more the states only come again.
const STEPS: u32 = 5;

/// One step on a call: a word, at once or at the last moment, or its end.
#[derive(Clone, Copy, Debug)]
enum Step {
    Hears(Word),
    HearsLate(Word),
    Fails(Failure),
    FailsLate(Failure),
    Moves,
}

const ALL: [Step; 11] = [
    Step::Hears(Word::Life),
    Step::Hears(Word::Part),
    Step::Hears(Word::List),
    Step::HearsLate(Word::Life),
    Step::HearsLate(Word::Part),
    Step::HearsLate(Word::List),
    Step::Fails(Failure::Lost),
    Step::Fails(Failure::Refused),
    Step::FailsLate(Failure::Lost),
    Step::FailsLate(Failure::Refused),
    Step::Moves,
];

/// A follower of discovery in the midst of something.
#[derive(Clone)]
struct Play {
    calls: Reconnect,
    now: Duration,
    listed: bool,
    /// The last moment at which a change would have been told, had discovery had it: a call that could have been
    /// answered, or a word on a watch that has brought its list.
    would_know: Duration,
}

impl Play {
    fn new(grace: u64) -> Play {
        let mut calls = Reconnect::new(grace);
        calls.called(Duration::ZERO);
        Play { calls, now: Duration::ZERO, listed: false, would_know: Duration::ZERO }
    }

    /// The longest that a change may have waited for the next call, once this step is done.
    fn step(&mut self, step: Step, draw: f64) -> Duration {
        let last = self.calls.give_up().saturating_sub(JUST_BEFORE).max(self.now);
        match step {
            Step::Hears(word) => self.hears(word),
            Step::HearsLate(word) => {
                self.now = last;
                self.hears(word);
            }
            Step::Fails(failure) => return self.fails(failure, draw),
            Step::FailsLate(failure) => {
                self.now = self.calls.give_up().max(self.now);
                return self.fails(failure, draw);
            }
            Step::Moves => {
                self.calls.moved();
                return self.calls_now();
            }
        }
        self.calls.give_up().saturating_sub(self.would_know)
    }

    fn hears(&mut self, word: Word) {
        self.calls.heard(self.now, word);
        self.listed |= word == Word::List;
        if self.listed && word != Word::Part {
            self.would_know = self.now;
        }
    }

    fn fails(&mut self, failure: Failure, draw: f64) -> Duration {
        self.now = self.calls.ended(self.now, failure, draw).max(self.now);
        self.calls_now()
    }

    fn calls_now(&mut self) -> Duration {
        let waited = self.now - self.would_know;
        self.calls.called(self.now);
        (self.listed, self.would_know) = (false, self.now);
        waited
    }
}

/// Plays all orders of steps and looks at each; the number of them.
fn in_all_orders(play: &Play, steps: u32, look: &mut impl FnMut(&Play, Duration)) -> u64 {
    if steps == 0 {
        return 1;
    }
    let play_on = |(step, draw): (Step, f64)| {
        let mut next = play.clone();
        let waited = next.step(step, draw);
        look(&next, waited);
        in_all_orders(&next, steps - 1, look)
    };
    ALL.into_iter().flat_map(|step| draws(step).iter().map(move |draw| (step, *draw))).map(play_on).sum()
}

/// The shortest and the longest pause where there is one.
fn draws(step: Step) -> &'static [f64] {
    match step {
        Step::Fails(_) | Step::FailsLate(_) => &[0.0, 1.0],
        _ => &[0.0],
    }
}

#[test]
fn no_order_of_events_puts_the_next_call_off_for_as_long_as_a_change_may_take() {
    for grace in GRACES {
        let mut longest = Duration::ZERO;
        let orders = in_all_orders(&Play::new(grace), STEPS, &mut |_, waited| longest = longest.max(waited));
        assert!(orders > 500_000, "{orders}");
        assert!(longest < TOLD - ANSWER, "{longest:?} with a grace of {grace} µs");
    }
}

/// Whatever happened until discovery had a change, and whatever one more call after that comes to: the next is made
/// in time.
#[test]
fn a_change_is_told_in_time_though_a_call_after_it_is_refused_or_hangs() {
    for grace in GRACES {
        let mut longest = Duration::ZERO;
        in_all_orders(&Play::new(grace), STEPS - 1, &mut |play, _| {
            // The change comes now, and what is open from before says nothing of it.
            let change = play.would_know.max(play.now);
            for open in [Failure::Lost, Failure::Refused] {
                for (failure, hangs) in
                    [(Failure::Lost, false), (Failure::Refused, false), (Failure::Lost, true)]
                {
                    let mut play = play.clone();
                    play.step(Step::FailsLate(open), 1.0);
                    play.step(if hangs { Step::FailsLate(failure) } else { Step::Fails(failure) }, 1.0);
                    longest = longest.max(play.now - change);
                }
            }
        });
        assert!(longest < TOLD - ANSWER, "{longest:?} with a grace of {grace} µs");
    }
}

/// Danger: an agent that shows signs of life and tells nothing.
#[test]
fn signs_of_life_do_not_keep_a_watch_that_brings_no_list() {
    let mut calls = Reconnect::new(20_000_000);
    let mut now = Duration::from_secs(1);
    calls.called(now);
    for _ in 0..20 {
        now = (now + Duration::from_millis(300)).min(calls.give_up());
        calls.heard(now, Word::Life);
    }
    assert_eq!(calls.give_up(), Duration::from_secs(4));
    calls.heard(now, Word::List);
    assert_eq!(calls.give_up(), now + Duration::from_secs(3));
}

#[test]
fn pauses_grow_while_calls_fail_and_begin_anew_after_a_watch_that_stood() {
    let mut calls = Reconnect::new(20_000_000);
    let mut pauses = Vec::new();
    let mut now = Duration::ZERO;
    for _ in 0..6 {
        calls.called(now);
        let next = calls.ended(now, Failure::Refused, 0.5);
        pauses.push((next - now).as_millis());
        now = next;
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1000, 1000]);
    calls.called(now);
    let end = now + Duration::from_millis(1001);
    assert!(calls.has_stood(end));
    assert_eq!((calls.ended(end, Failure::Lost, 0.5) - end).as_millis(), 100);
    calls.moved();
    calls.called(end);
    assert_eq!((calls.ended(end, Failure::Lost, 0.0) - end).as_millis(), 50);
}

#[test]
fn a_watch_that_fails_is_read_again_in_half_the_time_that_a_drain_leaves() {
    for grace in [100_000, 500_000, 2_000_000] {
        let mut calls = Reconnect::new(grace);
        let mut now = Duration::ZERO;
        for _ in 0..10 {
            calls.called(now);
            // The pause is up to half as long again; the list comes within one answer.
            let answer_in = calls.give_up() - now;
            let pause = calls.ended(now, Failure::Lost, 1.0) - now;
            assert!(answer_in + pause < Duration::from_micros(grace) / 2, "{calls:?}");
            assert!(first_list_in(grace) >= answer_in, "one answer at the least is waited for");
            now += answer_in + pause;
        }
    }
}

/// Nine in ten restarted processes are ready within 10 s: the wait for a first list is a small part of that.
#[test]
fn a_new_process_waits_briefly_for_its_first_list_whatever_the_grace() {
    for grace in GRACES {
        assert!(first_list_in(grace) <= Duration::from_secs(2));
        let mut calls = Reconnect::new(grace);
        calls.called(Duration::ZERO);
        assert!(first_list_in(grace) >= calls.give_up(), "one answer at the least is waited for");
    }
}
