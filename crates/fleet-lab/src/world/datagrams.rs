//! Messages between gateways: delay, loss, the rate at which a gateway accepts them, and network partitions.

use super::token_bucket::TokenBucket;
use super::{Rng, TimeSpan};
use crate::time::draw_duration;
use gateway_core::{GatewayId, Timestamp, ZoneId};
use rand::Rng as _;
use std::ops::Range;
use std::time::Duration;

/// A zone that is separated from all others for a while.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// The zone.
    pub zone: ZoneId,
    /// When.
    pub span: TimeSpan,
}

/// All network partitions of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Partitions(pub Vec<Partition>);

impl Partitions {
    /// Whether no message passes between two zones.
    pub fn is_partitioned(&self, now: Timestamp, zone: ZoneId, other_zone: ZoneId) -> bool {
        let separates = |partition: &Partition| {
            let is_between = (partition.zone == zone) != (partition.zone == other_zone);
            is_between && partition.span.contains(now)
        };
        self.0.iter().any(separates)
    }

    /// The end of the partition that separates a zone from all others now.
    pub fn isolated_until(&self, now: Timestamp, zone: ZoneId) -> Option<Timestamp> {
        let isolates =
            |partition: &&Partition| partition.zone == zone && partition.span.contains(now);
        self.0
            .iter()
            .filter(isolates)
            .map(|partition| partition.span.end)
            .max()
    }
}

/// A value that applies for a while: a ratio or a fraction, as the field that holds it says.
#[derive(Clone, Copy, Debug)]
pub struct TemporaryValue {
    /// When.
    pub span: TimeSpan,
    /// The value.
    pub value: f64,
}

/// What messages between gateways are subject to.
#[derive(Clone, Debug)]
pub struct NetworkConditions {
    /// Delay one way.
    pub delay: Range<Duration>,
    /// Fraction of messages lost at any time.
    pub loss: f64,
    /// Fraction of messages lost within some span, if that is more.
    pub temporary_loss: Option<TemporaryValue>,
    /// Messages a second that a gateway accepts; further ones are dropped.
    pub accepted_per_second: f64,
}

/// Messages that one gateway has sent or received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Messages.
    pub messages: u64,
    /// Their bytes, without headers.
    pub bytes: u64,
}

impl MessageCounts {
    /// Counts a message by its length in bytes.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// What became of the messages.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// What reached each gateway, dropped messages included.
    pub received: Vec<MessageCounts>,
    /// Messages sent, one for each receiver.
    pub sent: u64,
    /// Messages lost on their way, those to another side of a partition included.
    pub lost: u64,
    /// Messages beyond the rate that their receiver accepts.
    pub dropped: u64,
}

/// The network between gateways.
pub struct Datagrams {
    conditions: NetworkConditions,
    /// By receiver: what it still accepts.
    accept_budgets: Vec<TokenBucket>,
    rng: Rng,
    /// What became of all messages so far.
    pub traffic: Traffic,
}

impl Datagrams {
    /// A network of a number of gateways.
    pub fn new(
        rng: Rng,
        now: Timestamp,
        conditions: NetworkConditions,
        gateways: usize,
    ) -> Datagrams {
        // What arrives within one second is accepted if it is no more than the rate.
        let rate = conditions.accepted_per_second;
        let budget = TokenBucket::full(now, rate, rate.max(1.0));
        let traffic = Traffic {
            received: vec![MessageCounts::default(); gateways],
            ..Traffic::default()
        };
        Datagrams {
            accept_budgets: vec![budget; gateways],
            conditions,
            rng,
            traffic,
        }
    }

    /// Sends a message. Returns when it arrives, or `None` if it is lost.
    pub fn send(&mut self, now: Timestamp, is_partitioned: bool) -> Option<Timestamp> {
        self.traffic.sent += 1;
        let temporary = self
            .conditions
            .temporary_loss
            .filter(|loss| loss.span.contains(now));
        let loss = self
            .conditions
            .loss
            .max(temporary.map_or(0.0, |loss| loss.value));
        // Both are drawn in any case, so that a loss does not alter what is drawn after it.
        let chance = self.rng.random::<f64>();
        let delay = draw_duration(&mut self.rng, &self.conditions.delay);
        let is_lost = is_partitioned || chance < loss;
        self.traffic.lost += u64::from(is_lost);
        (!is_lost).then_some(now + delay)
    }

    /// A message arrives; returns whether its receiver accepts it.
    pub fn accept(&mut self, now: Timestamp, to: GatewayId, bytes: usize) -> bool {
        self.traffic.received[to.0 as usize].add(bytes);
        let accepted = self.accept_budgets[to.0 as usize].try_take(now, 1.0);
        self.traffic.dropped += u64::from(!accepted);
        accepted
    }
}
