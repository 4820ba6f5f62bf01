//! Model of the gateways' environment: clients, servers, discovery, the network between gateways,
//! and the invariant checker. Each part is a state machine without I/O or a clock of its own:
//! callers pass in the simulated time, and random draws come from a generator that is seeded with
//! the simulation's seed.
//!
//! `hybrid` reuses the parts that do not depend on simulated time: the records of requests, limits
//! and drains, and the checks on them. This module imports neither `hybrid` nor `simulate`.

pub mod answer_times;
pub mod client_request;
pub mod clients;
pub mod cold_start;
pub mod customer_account;
pub mod customers;
pub mod datagrams;
mod demand_pattern;
pub mod discovery;
pub mod draining;
pub mod final_answer;
pub mod invariant;
pub mod invariant_checker;
mod load_report;
pub mod machine;
pub mod request_counts;
pub mod request_record;
mod request_size;
pub mod request_statistics;
pub mod server_events;
pub mod servers;
pub mod token_bucket;
pub mod usage_limit;

use crate::time::duration_from_seconds;
use crate::time::{seconds_between, MICROSECOND};
use gateway_core::{RequestId, Timestamp};
use rand::Rng as _;
use rand::SeedableRng;
use std::time::Duration;

/// Minimum time between two events of a Poisson process, so that no two events coincide.
const MIN_TIME_TO_NEXT_EVENT: Duration = MICROSECOND;

/// The random number generator of every part of a simulation.
pub type Rng = rand_chacha::ChaCha8Rng;

/// Simulated time at which a simulation starts. It is far from 0, since a start time near 0 in an
/// endpoint list would make a server that has just started look like one that started long ago.
pub const START: Timestamp = Timestamp::from_micros(1_000_000_000);

/// Creates the random generator of one part of a simulation. Each part has a stream of its own, so
/// that a change in one part does not alter the draws of another part.
pub fn random_stream(seed: u64, part: u64) -> Rng {
    let mut rng = Rng::seed_from_u64(seed);
    rng.set_stream(part);
    rng
}

/// Returns the seconds from [`START`] to `now`.
pub fn seconds_since_start(now: Timestamp) -> f64 {
    seconds_between(START, now)
}

/// Number of a client's request, counted from 0; a client's retry is a new request with a number of
/// its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

impl RequestNumber {
    /// Number that no client's request has; it replaces an id that is not a number.
    pub const UNKNOWN: RequestNumber = RequestNumber(u64::MAX);

    /// Returns the id under which a gateway receives the request.
    pub fn id(self) -> RequestId {
        RequestId(self.0.to_string().into())
    }

    /// Returns the number that an id contains; `None` for an id that is not a number, which no
    /// client's request has.
    pub fn parse(id: &RequestId) -> Option<RequestNumber> {
        id.0.parse().ok().map(RequestNumber)
    }
}

/// A half-open span of simulated time.
#[derive(Clone, Copy, Debug)]
pub struct TimeSpan {
    /// First moment of the span.
    pub start: Timestamp,
    /// First moment after the span.
    pub end: Timestamp,
}

impl TimeSpan {
    /// Returns whether `now` lies within the span.
    pub fn contains(&self, now: Timestamp) -> bool {
        (self.start..self.end).contains(&now)
    }
}

/// Draws the time to the next event of a Poisson process at `rate` events per second; `None` if the
/// rate is 0.
pub fn time_to_next_event(rng: &mut Rng, rate: f64) -> Option<Duration> {
    (rate > 0.0).then(|| {
        duration_from_seconds(seconds_to_next_event(rng, rate)).max(MIN_TIME_TO_NEXT_EVENT)
    })
}

/// Draws the time to the next event of a Poisson process, in seconds; `rate` is in events per
/// second and above 0.
pub fn seconds_to_next_event(rng: &mut Rng, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}
