//! The gateway's timers: one timer of the embedding program serves all periodic work.

use crate::policy::deadlines::TIMER_PERIOD;
use crate::policy::fuzzy_controller::TICK_PERIOD;
use crate::time::Timestamp;
use std::time::Duration;

/// The time at which the timer fires, and the times at which periodic work is due.
pub(super) struct Timers {
    /// Time at which the timer that was set last fires; [`Timestamp::MAX`] while none is set.
    fires_at: Timestamp,
    next_control_tick: Timestamp,
    /// `None` if usage is never broadcast.
    next_broadcast: Option<Timestamp>,
}

impl Timers {
    /// Creates the timers of a gateway that starts at `now`. `broadcasts_usage` is whether the
    /// gateway broadcasts usage counts.
    pub(super) fn new(now: Timestamp, broadcasts_usage: bool) -> Self {
        Timers {
            fires_at: Timestamp::MAX,
            next_control_tick: now + TICK_PERIOD,
            next_broadcast: broadcasts_usage.then_some(now),
        }
    }

    /// Returns when the timer that was set last fires; [`Timestamp::MAX`] while none is set.
    pub(super) fn fires_at(&self) -> Timestamp {
        self.fires_at
    }

    /// Returns whether a timer that fires at `now` has been replaced: the timer that was set last
    /// fires later, or has fired already.
    pub(super) fn is_replaced(&self, now: Timestamp) -> bool {
        now < self.fires_at
    }

    /// Records that the timer has fired.
    pub(super) fn record_timer_fired(&mut self) {
        self.fires_at = Timestamp::MAX;
    }

    /// Returns when the next control tick is due.
    pub(super) fn next_control_tick(&self) -> Timestamp {
        self.next_control_tick
    }

    /// Returns whether a control tick is due and, if so, schedules the next one.
    pub(super) fn start_control_tick(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.next_control_tick;
        if is_due {
            self.next_control_tick = now + TICK_PERIOD;
        }
        is_due
    }

    /// Returns whether a broadcast of usage counts is due.
    pub(super) fn is_broadcast_due(&self, now: Timestamp) -> bool {
        self.next_broadcast.is_some_and(|due_at| now >= due_at)
    }

    /// Schedules the next broadcast of usage counts.
    pub(super) fn schedule_broadcast(&mut self, at: Timestamp) {
        self.next_broadcast = Some(at);
    }

    /// Returns the delay of a new timer, or `None` if the timer that is set fires early enough. The
    /// timer fires every [`TIMER_PERIOD`] while requests are open, otherwise when periodic work is
    /// due, but not before one [`TIMER_PERIOD`] has passed.
    pub(super) fn rearm(&mut self, now: Timestamp, has_open_requests: bool) -> Option<Duration> {
        let earliest = now + TIMER_PERIOD;
        let next = if has_open_requests {
            earliest
        } else {
            self.next_periodic_work().max(earliest)
        };
        if next >= self.fires_at {
            return None;
        }
        self.fires_at = next;
        Some(next.duration_since(now))
    }

    fn next_periodic_work(&self) -> Timestamp {
        let control_tick = self.next_control_tick;
        self.next_broadcast
            .map_or(control_tick, |broadcast| control_tick.min(broadcast))
    }
}
