//! Messages between gateways: delay, loss, the rate at which a gateway accepts them, and network
//! partitions.

use super::token_bucket::TokenBucket;
use super::{Rng, TimeSpan};
use crate::time::draw_duration;
use gateway_core::{GatewayId, Timestamp, ZoneId};
use rand::Rng as _;
use std::ops::Range;
use std::time::Duration;

/// A network partition that separates one zone from all others for a while.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// Zone that is separated from all others.
    pub zone: ZoneId,
    /// Time in which no message passes between the zone and the others.
    pub span: TimeSpan,
}

/// All network partitions of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Partitions(pub Vec<Partition>);

impl Partitions {
    /// Returns whether a partition separates two zones, so that no message passes between them.
    pub fn is_partitioned(&self, now: Timestamp, zone: ZoneId, other_zone: ZoneId) -> bool {
        let separates = |partition: &Partition| {
            let is_between = (partition.zone == zone) != (partition.zone == other_zone);
            is_between && partition.span.contains(now)
        };
        self.0.iter().any(separates)
    }

    /// Returns the end of the partition that currently separates a zone from all others; `None` if
    /// there is none.
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

/// A ratio or fraction that applies for a while; the field that holds it says which.
#[derive(Clone, Copy, Debug)]
pub struct TemporaryValue {
    /// Span in which the value applies.
    pub span: TimeSpan,
    /// The ratio or fraction.
    pub value: f64,
}

/// Delay, loss and acceptance rate of messages between gateways.
#[derive(Clone, Debug)]
pub struct NetworkConditions {
    /// One-way delay, uniformly distributed.
    pub delay: Range<Duration>,
    /// Fraction of messages that is always lost.
    pub loss: f64,
    /// Fraction of messages that is lost within a span; the greater of the two fractions applies.
    pub temporary_loss: Option<TemporaryValue>,
    /// Messages per second that a gateway accepts; further messages are dropped.
    pub accepted_per_second: f64,
}

/// Messages that one gateway has sent or received, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Number of messages.
    pub messages: u64,
    /// Bytes of the messages, without headers.
    pub bytes: u64,
}

impl MessageCounts {
    /// Counts a message of `bytes` bytes.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// Counts of sent, received, lost and dropped messages.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Messages that reached a gateway that was up, dropped messages included, by gateway.
    pub received: Vec<MessageCounts>,
    /// Messages sent, one for each receiver.
    pub sent: u64,
    /// Messages lost on their way, including those that a partition blocked.
    pub lost: u64,
    /// Messages dropped because they exceeded the rate that their receiver accepts.
    pub dropped: u64,
}

/// The simulated network between gateways.
pub struct Datagrams {
    conditions: NetworkConditions,
    /// Number of further messages that each gateway accepts, by gateway.
    accept_budgets: Vec<TokenBucket>,
    rng: Rng,
    /// Counts of all messages so far.
    pub traffic: Traffic,
}

impl Datagrams {
    /// Creates a network that connects a number of gateways.
    pub fn new(
        rng: Rng,
        now: Timestamp,
        conditions: NetworkConditions,
        gateways: usize,
    ) -> Datagrams {
        // The bucket holds the messages of one second, so that they are accepted however close
        // together they arrive.
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

    /// Sends a message. Returns its arrival time, or `None` if it is lost.
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
        // Chance and delay are drawn even if the message is lost, so that a loss does not alter the
        // draws after it.
        let chance = self.rng.random::<f64>();
        let delay = draw_duration(&mut self.rng, &self.conditions.delay);
        let is_lost = is_partitioned || chance < loss;
        self.traffic.lost += u64::from(is_lost);
        (!is_lost).then_some(now + delay)
    }

    /// Counts a message that arrives. Returns whether its receiver accepts it.
    pub fn accept(&mut self, now: Timestamp, to: GatewayId, bytes: usize) -> bool {
        self.traffic.received[to.0 as usize].add(bytes);
        let accepted = self.accept_budgets[to.0 as usize].try_take(now, 1.0);
        self.traffic.dropped += u64::from(!accepted);
        accepted
    }
}
