//! The gateway's timers: one timer of the embedding program serves all periodic work.

use crate::policy::deadlines::TIMER_PERIOD;
use crate::policy::fuzzy_controller::TICK_PERIOD;
use crate::time::Timestamp;
use std::time::Duration;

/// When the timer fires, and when periodic work is due.
pub(super) struct Timers {
    /// When the timer that was set last fires; [`Timestamp::MAX`] while none is set.
    fires_at: Timestamp,
    next_control_tick: Timestamp,
    /// `None` if usage is never broadcast.
    next_broadcast: Option<Timestamp>,
}

impl Timers {
    /// The timers of a gateway that starts now, and broadcasts its usage or not.
    pub(super) fn new(now: Timestamp, broadcasts_usage: bool) -> Self {
        Timers {
            fires_at: Timestamp::MAX,
            next_control_tick: now + TICK_PERIOD,
            next_broadcast: broadcasts_usage.then_some(now),
        }
    }

    /// When the timer that was set last is to fire.
    pub(super) fn fires_at(&self) -> Timestamp {
        self.fires_at
    }

    /// Whether a timer that fires now was replaced by a later one.
    pub(super) fn is_replaced(&self, now: Timestamp) -> bool {
        now < self.fires_at
    }

    /// Records that the timer has fired.
    pub(super) fn record_timer_fired(&mut self) {
        self.fires_at = Timestamp::MAX;
    }

    /// When the next control tick is due.
    pub(super) fn next_control_tick(&self) -> Timestamp {
        self.next_control_tick
    }

    /// Whether a control tick is due; if so, the next one is scheduled.
    pub(super) fn start_control_tick(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.next_control_tick;
        if is_due {
            self.next_control_tick = now + TICK_PERIOD;
        }
        is_due
    }

    /// Whether a broadcast of usage is due.
    pub(super) fn is_broadcast_due(&self, now: Timestamp) -> bool {
        self.next_broadcast.is_some_and(|due_at| now >= due_at)
    }

    /// Schedules the next broadcast of usage.
    pub(super) fn schedule_broadcast(&mut self, at: Timestamp) {
        self.next_broadcast = Some(at);
    }

    /// The delay after which a new timer is to fire, if it has to fire before the one that is set:
    /// every [`TIMER_PERIOD`] while requests are open, otherwise when periodic work is due.
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
