//! Warm-up of a server after its start, and the load of the server in that time.

use crate::time::serialize_whole_micros;
use gateway_core::DurationExt;
use gateway_core::{ServerRules, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum warm-up period, which replaces a configured period of 0.
const SHORTEST_WARM_UP: Duration = Duration::from_micros(1);

/// Load of a cold server within the overload window, compared with its budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct ColdStartLoad {
    /// Calls within the overload window, in requests of mean work.
    pub calls: f64,
    /// Calls that the settings allow within the window at that time.
    pub allowed: f64,
    /// Calls beyond which the server crashes: the allowed calls, plus twice their square root, plus
    /// 2.
    pub budget: f64,
    /// Fraction of the calls that came from gateways which knew of the server's latest start.
    #[serde(rename = "told")]
    pub start_known_fraction: f64,
    /// Time since the server's start; serialized in whole µs.
    #[serde(serialize_with = "serialize_whole_micros")]
    pub age: Duration,
}

impl ColdStartLoad {
    /// Returns the calls as a fraction of the budget.
    pub fn fraction(&self) -> f64 {
        self.calls / self.budget.max(f64::MIN_POSITIVE)
    }
}

/// An attempt that arrives at a cold server.
pub(super) struct ColdCall {
    /// Arrival time.
    pub(super) at: Timestamp,
    /// Work of the request as a multiple of the mean.
    pub(super) work: f64,
    /// Whether the gateway knew of the server's latest start.
    pub(super) is_start_known: bool,
}

/// Counts the calls to a cold server against its budget.
pub(super) struct ColdStart {
    rules: ServerRules,
    /// Requests of mean work per second that the server completes when it is warm.
    warm_capacity: f64,
    /// Calls within the overload window, while the server is cold.
    calls: VecDeque<ColdCall>,
    highest_load: ColdStartLoad,
}

impl ColdStart {
    /// Creates the state of a server that has received no calls.
    pub(super) fn new(rules: ServerRules, warm_capacity: f64) -> ColdStart {
        ColdStart {
            rules,
            warm_capacity,
            calls: VecDeque::new(),
            highest_load: ColdStartLoad::default(),
        }
    }

    /// Forgets the calls before a restart. The highest load is kept.
    pub(super) fn restart(&mut self) {
        self.calls.clear();
    }

    /// Returns the highest load since the server was added, earlier starts included.
    pub(super) fn highest_load(&self) -> ColdStartLoad {
        self.highest_load
    }

    /// Returns the fraction of its capacity that a server has reached since its start; 1 after the
    /// warm-up, and for a server that was not started cold.
    pub(super) fn warm_up_fraction(&self, now: Timestamp, started_at: Option<Timestamp>) -> f64 {
        let Some(started_at) = started_at else {
            return 1.0;
        };
        let period = self.rules.warm_up_period.max(SHORTEST_WARM_UP);
        let age = now.duration_since(started_at).as_micros_f64() / period.as_micros_f64();
        (self.rules.warm_up_from + (1.0 - self.rules.warm_up_from) * age).min(1.0)
    }

    /// Records a call while the server is cold. Returns whether the calls exceed the budget.
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
