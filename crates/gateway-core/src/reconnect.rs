//! When a watch on discovery is given up and opened again: a policy without sockets or a clock. Its
//! inputs are what happened on the open watch, and when; its outputs are the deadline of that watch
//! and the time of the next attempt.
//!
//! 1. A watch that brings no answer within the answer timeout, no first list within the silence
//!    timeout, or nothing at all for the silence timeout, is given up
//!    ([`ReconnectPolicy::deadline`]).
//! 2. The next watch is opened after an exponential backoff with jitter, which grows longer after a
//!    rejection than after a lost connection ([`ReconnectPolicy::attempt_failed`]).
//! 3. The backoff begins anew after a watch that was stable ([`ReconnectPolicy::was_stable`]), and
//!    when discovery has another address ([`ReconnectPolicy::address_changed`]).
//!
//! The platform holds a gateway to a change 6 s after discovery had it and could be reached,
//! whatever failed in between; where lists are pushed, immediately. All timeouts and backoffs are
//! therefore fractions of the drain grace, and each has an upper bound that holds however long the
//! drain grace is.

use std::time::Duration;

/// Longest silence on a watch before it is given up; discovery sends a heartbeat every 2 s. It
/// bounds the time to the first list, too, because a watch on which only heartbeats arrive hides
/// drains.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the answer timeout, for settings with a long drain grace.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Upper bound of every backoff, which is that after a rejection. An overloaded discovery continues
/// to reject watches while they are opened faster than it can serve them.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Upper bound of the first backoff.
const MAX_INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// A watch that lasted for longer than this was stable: its end is a new failure, not the same one
/// again.
const STABLE_AFTER: Duration = MAX_BACKOFF;
/// Upper bound of the wait for the first list, because a restarted edge node has to be ready soon.
const MAX_FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The drain grace is this many answer timeouts.
const ANSWER_TIMEOUTS_PER_GRACE: u32 = 4;
/// The drain grace is this many initial backoffs.
const INITIAL_BACKOFFS_PER_GRACE: u32 = 40;
/// The drain grace is this many of the longest backoffs after a lost connection.
const LONGEST_BACKOFFS_PER_GRACE: u32 = 16;
/// The drain grace is this many waits for the first list.
const FIRST_LIST_TIMEOUTS_PER_GRACE: u32 = 2;

/// The smallest factor by which jitter multiplies a backoff; the largest is greater by one.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// How long a starting edge node waits for its first list, by the drain grace.
#[must_use]
pub fn first_list_timeout(drain_grace: Duration) -> Duration {
    (drain_grace / FIRST_LIST_TIMEOUTS_PER_GRACE).min(MAX_FIRST_LIST_TIMEOUT)
}

/// What has arrived on the open watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A sign of life that is no list.
    Heartbeat,
    /// A part of a list whose end has not arrived.
    PartialList,
    /// A whole list that could be read.
    List,
}

/// Why a watch has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// It could not be opened, broke, ended, or was given up as silent.
    ConnectionLost,
    /// Discovery serves, but rejected the watch or sent what can't be read; the backoff grows
    /// longer than after a lost connection.
    Rejected,
}

/// Backoffs of an exponential backoff, before jitter.
#[derive(Clone, Debug)]
struct Backoff {
    /// The first one.
    initial: Duration,
    /// The longest one after a lost connection.
    longest_after_loss: Duration,
    /// The next one.
    next: Duration,
}

impl Backoff {
    fn new(drain_grace: Duration) -> Backoff {
        let initial = (drain_grace / INITIAL_BACKOFFS_PER_GRACE).min(MAX_INITIAL_BACKOFF);
        Backoff {
            initial,
            longest_after_loss: (drain_grace / LONGEST_BACKOFFS_PER_GRACE).min(MAX_BACKOFF),
            next: initial,
        }
    }

    fn reset(&mut self) {
        self.next = self.initial;
    }

    /// The backoff after this failure; the next one is twice as long, up to the longest.
    fn advance(&mut self, failure: WatchFailure) -> Duration {
        let longest = match failure {
            WatchFailure::ConnectionLost => self.longest_after_loss,
            WatchFailure::Rejected => MAX_BACKOFF,
        };
        let backoff = self.next.min(longest);
        self.next = (self.next * 2).min(longest);
        backoff
    }
}

/// Decides when watches, one after the other, are given up and opened. Times are durations since a
/// fixed moment, which the caller chooses, on a monotonic clock.
#[derive(Clone, Debug)]
pub struct ReconnectPolicy {
    /// Longest wait for an answer, and for the rest of a list that has begun. A healthy agent
    /// answers immediately.
    answer_timeout: Duration,
    backoff: Backoff,
    /// When the open watch was begun.
    attempt_started_at: Duration,
    /// The open watch has brought a list.
    list_received: bool,
    /// A list has begun on the open watch whose end has not arrived.
    list_is_partial: bool,
    /// When the open watch is given up.
    deadline: Duration,
}

impl ReconnectPolicy {
    /// The policy for a drain grace: the answer timeout and the longest backoff with the read after
    /// it fill less than half of that, or their upper bounds if these are shorter.
    #[must_use]
    pub fn new(drain_grace: Duration) -> ReconnectPolicy {
        ReconnectPolicy {
            answer_timeout: (drain_grace / ANSWER_TIMEOUTS_PER_GRACE).min(MAX_ANSWER_TIMEOUT),
            backoff: Backoff::new(drain_grace),
            attempt_started_at: Duration::ZERO,
            list_received: false,
            list_is_partial: false,
            deadline: Duration::ZERO,
        }
    }

    /// A watch is being opened: the first one, the next one when its time has come, or one to a new
    /// address at once.
    pub fn attempt_started(&mut self, now: Duration) {
        self.attempt_started_at = now;
        self.deadline = now + self.answer_timeout;
        self.list_received = false;
        self.list_is_partial = false;
    }

    /// Discovery has another address: backoffs begin anew.
    pub fn address_changed(&mut self) {
        self.backoff.reset();
    }

    /// Something has arrived on the open watch, which may move its deadline.
    pub fn event_received(&mut self, now: Duration, event: WatchEvent) {
        match event {
            WatchEvent::PartialList => {
                // A list that arrives byte by byte without end must not keep the watch: only its
                // beginning counts.
                if self.list_is_partial {
                    return;
                }
                self.list_is_partial = true;
                self.set_deadline(now + self.answer_timeout);
            }
            WatchEvent::Heartbeat => {
                self.list_is_partial = false;
                self.set_deadline(now + SILENCE_TIMEOUT);
            }
            WatchEvent::List => {
                self.list_is_partial = false;
                self.list_received = true;
                self.set_deadline(now + SILENCE_TIMEOUT);
            }
        }
    }

    /// Until the first list has arrived the deadline stays within the silence timeout of the
    /// watch's beginning: heartbeats alone must not keep a watch that brings no list.
    fn set_deadline(&mut self, deadline: Duration) {
        self.deadline = if self.list_received {
            deadline
        } else {
            deadline.min(self.attempt_started_at + SILENCE_TIMEOUT)
        };
    }

    /// When the open watch is given up if nothing more arrives.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Whether the open watch has lasted for so long that its end is a new failure.
    #[must_use]
    pub fn was_stable(&self, now: Duration) -> bool {
        now.saturating_sub(self.attempt_started_at) > STABLE_AFTER
    }

    /// The watch has ended; returns when the next one is opened. `jitter`, from 0 to 1, spreads the
    /// attempts of all edge nodes, which would otherwise reconnect at the same moment.
    pub fn attempt_failed(
        &mut self,
        now: Duration,
        failure: WatchFailure,
        jitter: f64,
    ) -> Duration {
        if self.was_stable(now) {
            self.backoff.reset();
        }
        let backoff = self.backoff.advance(failure);
        now + backoff.mul_f64(MIN_JITTER_FACTOR + jitter.clamp(0.0, 1.0))
    }
}
