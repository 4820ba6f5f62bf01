//! When discovery is called again: a core without sockets or a clock. What happened on the open call and the
//! time go in; out come the moment at which that call is given up and the one at which the next is made.
//!
//! A change counts as told 6 s after discovery had it and could be reached, whatever failed in between; where
//! lists are pushed it counts at once. So the pace follows the time that a drain leaves, and no pause or wait
//! outlasts the bounds below, however much time that is.

use crate::Micros;
use std::time::Duration;

/// A watch says something every 2 s; one that is this late is taken for dead. A watch whose first list is
/// this late is given up too, with whatever signs of life. Guards drains: what discovery has to tell counts
/// as told all the same.
const SILENT_FOR: Duration = Duration::from_secs(3);
/// The longest wait for an answer, and for a list that has begun to be whole. Guards settings with a long
/// grace.
const ANSWER_MOST: Duration = Duration::from_millis(1500);
/// The longest pause before one is opened again that was turned away or could not be read. Guards against a
/// herd: a discovery that turns calls away goes on doing so for as long as they come back faster than it can
/// serve them.
const TURNED_AWAY_MOST: Duration = Duration::from_secs(1);
/// The longest first pause.
const FIRST_PAUSE_MOST: Duration = Duration::from_millis(100);
/// The longest wait of a new edge node for its first list. Guards restarts, which have to be ready soon.
const FIRST_LIST_MOST: Duration = Duration::from_secs(2);

/// For how long a new edge node may wait for its first list, by the time that a drain leaves.
pub fn first_list_in(drain_grace: Micros) -> Duration {
    (Duration::from_micros(drain_grace) / 2).min(FIRST_LIST_MOST)
}

/// What came on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// A sign of life, without a list.
    Life,
    /// A part of a list that is not whole yet.
    Part,
    /// A whole list that could be read.
    List,
}

/// Why a call is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It could not be made, broke, ended, or was given up as silent.
    Lost,
    /// Discovery serves, but turned it away or sent what can't be read; it is not asked again as quickly.
    Refused,
}

/// Decides on calls to discovery, one after the other. Times are spans since any fixed moment, on a clock
/// that does not go back.
#[derive(Clone, Debug)]
pub struct Reconnect {
    /// The agent answers at once. One that has not by then is silent, and is asked again.
    answer_in: Duration,
    /// The first pause, doubled each time, and the longest after a loss.
    pauses: (Duration, Duration),
    /// The next pause, before it is spread out.
    pause: Duration,
    called: Duration,
    /// Whether the open call has brought a list.
    listed: bool,
    /// Whether a list has begun on it that is not whole.
    within: bool,
    give_up: Duration,
}

impl Reconnect {
    /// In parts of the time that a drain leaves: the longest wait for an answer, pause and read after it fill
    /// under half of that, or their bounds if these are shorter.
    pub fn new(drain_grace: Micros) -> Reconnect {
        let grace = Duration::from_micros(drain_grace);
        let pauses = ((grace / 40).min(FIRST_PAUSE_MOST), (grace / 16).min(TURNED_AWAY_MOST));
        Reconnect {
            answer_in: (grace / 4).min(ANSWER_MOST),
            pauses,
            pause: pauses.0,
            called: Duration::ZERO,
            listed: false,
            within: false,
            give_up: Duration::ZERO,
        }
    }

    /// A call begins now: the first, the next one when its moment has come, or one to a new address at once.
    pub fn called(&mut self, now: Duration) {
        (self.called, self.give_up) = (now, now + self.answer_in);
        (self.listed, self.within) = (false, false);
    }

    /// Discovery has another address: its first call may fail as often as a first one does.
    pub fn moved(&mut self) {
        self.pause = self.pauses.0;
    }

    /// Something came on the open call.
    pub fn heard(&mut self, now: Duration, word: Word) {
        let part = word == Word::Part;
        // Danger: a list that comes byte by byte without end.
        if std::mem::replace(&mut self.within, part) && part {
            return;
        }
        self.listed |= word == Word::List;
        let until = now + if part { self.answer_in } else { SILENT_FOR };
        // Danger: signs of life for ever and no list.
        self.give_up = if self.listed { until } else { until.min(self.called + SILENT_FOR) };
    }

    /// When the open call is given up if nothing more comes.
    pub fn give_up(&self) -> Duration {
        self.give_up
    }

    /// Whether the open call has stood for so long that its end is a new trouble.
    pub fn has_stood(&self, now: Duration) -> bool {
        now.saturating_sub(self.called) > TURNED_AWAY_MOST
    }

    /// The call is over; when the next one is made. `draw`, from 0 to 1, spreads it out, so that all edge
    /// nodes do not come back at one stroke.
    pub fn ended(&mut self, now: Duration, failure: Failure, draw: f64) -> Duration {
        if self.has_stood(now) {
            self.pause = self.pauses.0;
        }
        let longest = match failure {
            Failure::Lost => self.pauses.1,
            Failure::Refused => TURNED_AWAY_MOST,
        };
        let pause = self.pause.min(longest).mul_f64(0.5 + draw.clamp(0.0, 1.0));
        self.pause = (self.pause * 2).min(longest);
        now + pause
    }
}
