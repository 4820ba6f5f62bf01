//! The warm-up of a server after its start, and the load that it bears meanwhile.

use crate::time::serialize_whole_micros;
use gateway_core::DurationExt;
use gateway_core::{ServerRules, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// A warm-up of no time is over after this.
const SHORTEST_WARM_UP: Duration = Duration::from_micros(1);

/// The highest load of a cold server, compared with what it can bear.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct ColdStartLoad {
    /// Calls within the overload window, in requests of mean work.
    pub calls: f64,
    /// Calls that the settings allow within the window at that moment.
    pub allowed: f64,
    /// Calls that make it crash: the allowed ones, twice their root, and two.
    pub budget: f64,
    /// Fraction of the calls that came from gateways which knew of the start.
    #[serde(rename = "told")]
    pub start_known_fraction: f64,
    /// Time since the server's start, in whole µs where it is reported.
    #[serde(serialize_with = "serialize_whole_micros")]
    pub age: Duration,
}

impl ColdStartLoad {
    /// Calls as a fraction of the budget.
    pub fn fraction(&self) -> f64 {
        self.calls / self.budget.max(f64::MIN_POSITIVE)
    }
}

/// A call to a server.
pub(super) struct ColdCall {
    /// When.
    pub(super) at: Timestamp,
    /// Its work as a multiple of the mean.
    pub(super) work: f64,
    /// Whether its gateway knew of the server's latest start.
    pub(super) is_start_known: bool,
}

/// What a server has to bear while it is cold.
pub(super) struct ColdStart {
    rules: ServerRules,
    /// Requests of mean work that the warm server completes in a second.
    warm_capacity: f64,
    /// Calls within the overload window, while the server is cold.
    calls: VecDeque<ColdCall>,
    highest_load: ColdStartLoad,
}

impl ColdStart {
    /// A server that has had no calls.
    pub(super) fn new(rules: ServerRules, warm_capacity: f64) -> ColdStart {
        ColdStart {
            rules,
            warm_capacity,
            calls: VecDeque::new(),
            highest_load: ColdStartLoad::default(),
        }
    }

    /// The server starts again.
    pub(super) fn restart(&mut self) {
        self.calls.clear();
    }

    /// The highest load since the server was added, earlier starts included.
    pub(super) fn highest_load(&self) -> ColdStartLoad {
        self.highest_load
    }

    /// Fraction of its capacity that a server has reached since its start; all of it if that was long ago.
    pub(super) fn warm_up_fraction(&self, now: Timestamp, started_at: Option<Timestamp>) -> f64 {
        let Some(started_at) = started_at else {
            return 1.0;
        };
        let period = self.rules.warm_up_period.max(SHORTEST_WARM_UP);
        let age = now.duration_since(started_at).as_micros_f64() / period.as_micros_f64();
        (self.rules.warm_up_from + (1.0 - self.rules.warm_up_from) * age).min(1.0)
    }

    /// Counts a call while the server is cold; returns whether it is overloaded by it.
    pub(super) fn record_call(&mut self, call: ColdCall, started_at: Option<Timestamp>) -> bool {
        let now = call.at;
        let warm_up_fraction = self.warm_up_fraction(now, started_at);
        if warm_up_fraction >= 1.0 {
            return false;
        }
        self.calls.push_back(call);
        let window = self.rules.overload_window;
        while self
            .calls
            .front()
            .is_some_and(|call| call.at + window <= now)
        {
            self.calls.pop_front();
        }
        let age = now.duration_since(started_at.unwrap_or(now));
        let load = self.load(warm_up_fraction, age);
        if load.fraction() > self.highest_load.fraction() {
            self.highest_load = load;
        }
        load.calls > load.budget
    }

    fn load(&self, warm_up_fraction: f64, age: Duration) -> ColdStartLoad {
        let calls: f64 = self.calls.iter().map(|call| call.work).sum();
        let with_start_known = self.calls.iter().filter(|call| call.is_start_known);
        let start_known_calls: f64 = with_start_known.map(|call| call.work).sum();
        let window = self.rules.overload_window.as_seconds();
        let allowed = self.rules.overload_multiple * self.warm_capacity * warm_up_fraction * window;
        ColdStartLoad {
            calls,
            allowed,
            budget: allowed + 2.0 * allowed.sqrt() + 2.0,
            start_known_fraction: start_known_calls / calls,
            age,
        }
    }
}
