//! The lab's own model of what surrounds the gateways. Each part is a state machine without input, output or clock:
//! it is given the simulated time, and draws from a random source that the seed of the simulation fixes.
//!
//! `hybrid` uses the parts that do not depend on how time passes: the records of requests, limits and drains, and the
//! checks on them. This module imports neither `hybrid` nor `simulate`.

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

/// Events of a Poisson process do not coincide.
const MIN_TIME_TO_NEXT_EVENT: Duration = MICROSECOND;

/// The random source of all parts of a simulation.
pub type Rng = rand_chacha::ChaCha8Rng;

/// Simulated time at which a simulation starts. It is far from 0, since a start time near 0 in a list of servers
/// would make a server that has just started look like one that started long ago.
pub const START: Timestamp = Timestamp::from_micros(1_000_000_000);

/// A random source of its own for one part, so that a change in one part does not alter what another one draws.
pub fn random_stream(seed: u64, part: u64) -> Rng {
    let mut rng = Rng::seed_from_u64(seed);
    rng.set_stream(part);
    rng
}

/// Seconds since [`START`].
pub fn seconds_since_start(now: Timestamp) -> f64 {
    seconds_between(START, now)
}

/// Number of a client's request, from 0; a client's retry is a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

impl RequestNumber {
    /// A number that no client's request has.
    pub const UNKNOWN: RequestNumber = RequestNumber(u64::MAX);

    /// The id under which a gateway gets the request.
    pub fn id(self) -> RequestId {
        RequestId(self.0.to_string().into())
    }

    /// The number that an id stands for; `None` for an id that no client made.
    pub fn parse(id: &RequestId) -> Option<RequestNumber> {
        id.0.parse().ok().map(RequestNumber)
    }
}

/// A half-open span of simulated time.
#[derive(Clone, Copy, Debug)]
pub struct TimeSpan {
    /// First moment.
    pub start: Timestamp,
    /// First moment after the span.
    pub end: Timestamp,
}

impl TimeSpan {
    /// Whether a time lies within the span.
    pub fn contains(&self, now: Timestamp) -> bool {
        (self.start..self.end).contains(&now)
    }
}

/// Time to the next event of a Poisson process at `rate` events a second; `None` at rate 0.
pub fn time_to_next_event(rng: &mut Rng, rate: f64) -> Option<Duration> {
    (rate > 0.0).then(|| {
        duration_from_seconds(seconds_to_next_event(rng, rate)).max(MIN_TIME_TO_NEXT_EVENT)
    })
}

/// Time to the next event of a Poisson process, s, at `rate` events a second, which is above 0.
pub fn seconds_to_next_event(rng: &mut Rng, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}
