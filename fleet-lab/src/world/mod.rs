//! The lab's own model of what surrounds the gateways. Each part is a state machine without input, output or
//! clock: it is told the simulated time, and draws from a random source that the play's seed fixes.

pub mod clients;
pub mod datagrams;
pub mod discovery;
pub mod invariant_checker;
pub mod servers;

use edge_node::{Micros, RequestId};
use rand::Rng as _;
use rand::SeedableRng;

/// The source of all chance in a play.
pub type Rng = rand_chacha::ChaCha8Rng;

/// Simulated time at which a play begins, µs. Danger: a start at 0, which lists take for 'long ago'.
pub const START: Micros = 1_000_000_000;

/// A random source of its own for one part, so that a change in one part leaves what another draws alone.
pub fn stream(seed: u64, part: u64) -> Rng {
    let mut rng = Rng::seed_from_u64(seed);
    rng.set_stream(part);
    rng
}

/// A span of so many seconds, in µs.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Number of a client's try, from 0; a retry is a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNo(pub u64);

impl RequestNo {
    /// The id under which a gateway hears of it.
    pub fn id(self) -> RequestId {
        RequestId(self.0.to_string().into())
    }

    /// The try that an id stands for; `None` for an id that no client gave.
    pub fn read(id: &RequestId) -> Option<RequestNo> {
        id.0.parse().ok().map(RequestNo)
    }
}

/// A span of simulated time: the first moment, and the first after it.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// First moment, µs.
    pub from: Micros,
    /// First moment after it, µs.
    pub to: Micros,
}

impl Span {
    /// Whether the time lies in it.
    pub fn holds(&self, now: Micros) -> bool {
        (self.from..self.to).contains(&now)
    }
}

/// Time until the next of events that come at random, µs, at so many a second; none at no rate.
pub fn until_next(rng: &mut Rng, rate: f64) -> Option<Micros> {
    (rate > 0.0).then(|| micros(-(1.0 - rng.random::<f64>()).ln() / rate).max(1))
}

/// A store of units that fills at a rate up to its depth, and is drained by use.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    depth: f64,
    /// Units a second.
    rate: f64,
    filled: Micros,
}

impl Bucket {
    /// A full one.
    pub fn full(now: Micros, rate: f64, depth: f64) -> Bucket {
        Bucket { level: depth, depth, rate, filled: now }
    }

    /// Units in it now.
    pub fn level(&mut self, now: Micros) -> f64 {
        let span = now.saturating_sub(std::mem::replace(&mut self.filled, now)) as f64 / 1e6;
        self.level = (self.level + self.rate * span).min(self.depth);
        self.level
    }

    /// Takes units out, or puts them back where negative; the level after that.
    pub fn take(&mut self, now: Micros, units: f64) -> f64 {
        self.level(now);
        self.level = (self.level - units).min(self.depth);
        self.level
    }

    /// Takes units out if it holds them; whether it did.
    pub fn try_take(&mut self, now: Micros, units: f64) -> bool {
        let held = self.level(now) >= units;
        if held {
            self.level -= units;
        }
        held
    }

    /// Share of the depth that is there.
    pub fn share(&mut self, now: Micros) -> f64 {
        self.level(now) / self.depth.max(f64::MIN_POSITIVE)
    }
}
