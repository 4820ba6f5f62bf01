//! Reconnect policy: when a watch on discovery counts as lost, and when the next watch is opened.
//! The policy has no sockets and no clock. Its inputs are the events on the newest watch and their
//! times; its outputs are the deadline of that watch and the time of the next attempt to open one.
//!
//! 1. A watch is lost if it brings no answer within the answer timeout, no first list within the
//!    silence timeout, or nothing at all for the silence timeout ([`ReconnectPolicy::deadline`]).
//!    It stays open beside the next watches for as long as discovery may still answer it
//!    ([`late_watches`]).
//! 2. The next watch is opened after an exponential backoff with jitter. The backoff grows longer
//!    after rejections than after lost connections ([`ReconnectPolicy::attempt_failed`]).
//! 3. The backoff is reset after a stable watch ([`ReconnectPolicy::was_stable`]), and when the
//!    address of discovery changes ([`ReconnectPolicy::address_changed`]).
//!
//! The platform requires a gateway to act on a change 6 s after discovery knows it and can be
//! reached, whatever has failed in between; where lists are pushed, immediately. All timeouts and
//! backoffs are therefore fractions of the drain grace, and each has an upper bound for deployments
//! with a long drain grace.

mod backoff;
pub mod late_watches;

use backoff::Backoff;
use std::time::Duration;

/// Longest silence on a watch before it counts as lost. Discovery sends a heartbeat every 2 s. This
/// timeout bounds the wait for the first list too, because drains stay unknown on a watch that
/// receives only heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the answer timeout, for settings with a long drain grace.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// A watch that lasted longer than this was stable: its end is a new failure, and not the previous
/// failure repeated.
const STABLE_AFTER: Duration = backoff::MAX_BACKOFF;
/// Upper bound of the wait for the first list, because a restarted edge node must be ready soon.
const MAX_FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Drain grace divided by the answer timeout.
const ANSWER_TIMEOUTS_PER_GRACE: u32 = 4;
/// Drain grace divided by the first-list timeout.
const FIRST_LIST_TIMEOUTS_PER_GRACE: u32 = 2;

/// Smallest factor by which jitter multiplies a backoff; the largest factor is greater by 1.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// Returns how long a starting edge node waits for its first list.
#[must_use]
pub fn first_list_timeout(drain_grace: Duration) -> Duration {
    (drain_grace / FIRST_LIST_TIMEOUTS_PER_GRACE).min(MAX_FIRST_LIST_TIMEOUT)
}

/// What discovery has sent on the open watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// Discovery sent a message other than a list.
    Heartbeat,
    /// A part of a list has arrived, but not its end.
    PartialList,
    /// The end of a list has arrived, and the list is valid.
    List,
}

/// Why a watch has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// The connection could not be established, was lost or closed, or the deadline of the watch
    /// passed.
    ConnectionLost,
    /// Discovery responds, but rejected the watch or sent a malformed response. The backoff grows
    /// longer than after a lost connection.
    Rejected,
}

/// Decides when the newest watch is lost and when the next watch is opened. Times are durations
/// on a monotonic clock since a fixed instant that the caller chooses.
#[derive(Clone, Debug)]
pub struct ReconnectPolicy {
    /// Longest wait for an answer, and for the end of a list after its first part. A healthy
    /// discovery agent answers immediately.
    answer_timeout: Duration,
    backoff: Backoff,
    /// When the attempt to open the current watch started.
    attempt_started_at: Duration,
    /// Whether a list has arrived on the open watch.
    has_received_list: bool,
    /// Whether a part of a list, but not its end, has arrived on the open watch.
    has_partial_list: bool,
    /// When the newest watch is lost.
    deadline: Duration,
}

impl ReconnectPolicy {
    /// Returns the policy for a drain grace. After a lost connection, the longest backoff and the
    /// answer timeout, within which the next list is read, together take less than half of the
    /// drain grace. With a long drain grace, the upper bounds of the two make them shorter still.
    #[must_use]
    pub fn new(drain_grace: Duration) -> ReconnectPolicy {
        ReconnectPolicy {
            answer_timeout: (drain_grace / ANSWER_TIMEOUTS_PER_GRACE).min(MAX_ANSWER_TIMEOUT),
            backoff: Backoff::new(drain_grace),
            attempt_started_at: Duration::ZERO,
            has_received_list: false,
            has_partial_list: false,
            deadline: Duration::ZERO,
        }
    }

    /// Records that a watch is being opened: the first watch, the next watch after its backoff, or
    /// immediately a watch at a new address.
    pub fn attempt_started(&mut self, now: Duration) {
        self.attempt_started_at = now;
        self.deadline = now + self.answer_timeout;
        self.has_received_list = false;
        self.has_partial_list = false;
    }

    /// Records that the address of discovery has changed, which resets the backoff.
    pub fn address_changed(&mut self) {
        self.backoff.reset();
    }

    /// Records an event on the open watch, which may move the deadline.
    pub fn event_received(&mut self, now: Duration, event: WatchEvent) {
        match event {
            WatchEvent::PartialList => {
                // A list that arrives byte by byte without end must not keep the watch open: only
                // its first part moves the deadline.
                if self.has_partial_list {
                    return;
                }
                self.has_partial_list = true;
                self.set_deadline(now + self.answer_timeout);
            }
            WatchEvent::Heartbeat => {
                self.has_partial_list = false;
                self.set_deadline(now + SILENCE_TIMEOUT);
            }
            WatchEvent::List => {
                self.has_partial_list = false;
                self.has_received_list = true;
                self.set_deadline(now + SILENCE_TIMEOUT);
            }
        }
    }

    /// Sets the deadline. Before the first list, it is at most the silence timeout after the start
    /// of the watch: heartbeats must not keep a watch open on which no list arrives.
    fn set_deadline(&mut self, deadline: Duration) {
        self.deadline = if self.has_received_list {
            deadline
        } else {
            deadline.min(self.attempt_started_at + SILENCE_TIMEOUT)
        };
    }

    /// Returns when the newest watch is lost if nothing more arrives.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Returns whether the open watch has lasted so long that its end is a new failure.
    #[must_use]
    pub fn was_stable(&self, now: Duration) -> bool {
        now.saturating_sub(self.attempt_started_at) > STABLE_AFTER
    }

    /// Records that the watch has ended, and returns when the next watch must be opened. `jitter`,
    /// from 0 to 1, spreads the attempts of the edge nodes, which would otherwise reconnect at the
    /// same moment.
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
