//! Messages between gateways: delay, loss, what a gateway takes in, and cuts between parts of the network.

use super::{Bucket, Rng, Span};
use edge_node::{GatewayId, Micros, ZoneId};
use rand::Rng as _;
use std::ops::Range;

/// A part of the network that is cut off for a while.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// The zone that is cut off from all others.
    pub zone: ZoneId,
    /// When.
    pub span: Span,
}

/// All cuts of a play.
#[derive(Clone, Debug, Default)]
pub struct Cuts(pub Vec<Cut>);

impl Cuts {
    /// Whether nothing passes between two zones.
    pub fn part(&self, now: Micros, one: ZoneId, other: ZoneId) -> bool {
        let parts = |cut: &Cut| (cut.zone == one) != (cut.zone == other) && cut.span.holds(now);
        self.0.iter().any(parts)
    }

    /// Until when a zone is cut off from the rest.
    pub fn until(&self, now: Micros, zone: ZoneId) -> Option<Micros> {
        let of = self.0.iter().filter(|cut| cut.zone == zone && cut.span.holds(now));
        of.map(|cut| cut.span.to).max()
    }
}

/// What a play's messages may suffer.
#[derive(Clone, Debug)]
pub struct Weather {
    /// One way, µs.
    pub delay: Range<Micros>,
    /// Share that is lost in any case.
    pub loss: f64,
    /// Share that is lost within some span.
    pub lossy: Option<(Span, f64)>,
    /// Messages a second that a gateway takes in; what comes beyond is dropped.
    pub intake: f64,
}

/// What became of the messages.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// By receiver: messages that came, and their bytes.
    pub came: Vec<(u64, u64)>,
    /// Messages sent, one for each receiver.
    pub sent: u64,
    /// Lost on the way, cuts included.
    pub lost: u64,
    /// Dropped as the receiver takes in no more.
    pub dropped: u64,
}

/// The network between gateways.
pub struct Datagrams {
    weather: Weather,
    intake: Vec<Bucket>,
    rng: Rng,
    /// What became of all so far.
    pub traffic: Traffic,
}

impl Datagrams {
    /// A network of so many gateways.
    pub fn new(rng: Rng, now: Micros, weather: Weather, gateways: usize) -> Datagrams {
        // What comes within one second fits in if it is no more than the intake.
        let bucket = Bucket::full(now, weather.intake, weather.intake.max(1.0));
        let traffic = Traffic { came: vec![(0, 0); gateways], ..Traffic::default() };
        Datagrams { intake: vec![bucket; gateways], weather, rng, traffic }
    }

    /// A message leaves; when it arrives, or `None` if it is lost.
    pub fn send(&mut self, now: Micros, cut: bool) -> Option<Micros> {
        self.traffic.sent += 1;
        let more = self.weather.lossy.filter(|(span, _)| span.holds(now)).map_or(0.0, |(_, loss)| loss);
        // Both are drawn in any case, so that a loss leaves what comes after it as it was.
        let (chance, delay) = (self.rng.random::<f64>(), self.rng.random_range(self.weather.delay.clone()));
        let lost = cut || chance < self.weather.loss.max(more);
        self.traffic.lost += u64::from(lost);
        (!lost).then_some(now + delay)
    }

    /// A message arrives; whether its receiver takes it in.
    pub fn takes(&mut self, now: Micros, to: GatewayId, bytes: usize) -> bool {
        let came = &mut self.traffic.came[to.0 as usize];
        *came = (came.0 + 1, came.1 + bytes as u64);
        let taken = self.intake[to.0 as usize].try_take(now, 1.0);
        self.traffic.dropped += u64::from(!taken);
        taken
    }
}
