//! A simulated fleet of gateways with one clock. Messages between the gateways are lost, delayed,
//! duplicated and reordered.

use super::{GatewayHarness, Micros, SettingsBuilder, CUSTOMER, IDEMPOTENT, MILLISECOND, SECOND};
use gateway_core::*;
use std::collections::BTreeMap;

/// Number of messages in twenty, on average, whose first copy is delivered.
const DELIVERED_OF_TWENTY: u8 = 18;
/// Number of messages in twenty, on average, whose second copy is delivered.
const DUPLICATED_OF_TWENTY: u8 = 1;

/// A message in transit.
struct Delivery {
    arrives_at: Micros,
    /// Index of the gateway that receives the message.
    to: usize,
    event: Event,
}

/// Gateways, and the network between them.
pub(crate) struct Fleet {
    pub(crate) gateways: Vec<GatewayHarness>,
    pub(crate) random: fastrand::Rng,
    /// Number of messages that all gateways have sent, including lost messages.
    pub(crate) messages_sent: u64,
    /// Number of messages that each gateway has received, by index.
    pub(crate) messages_received: BTreeMap<usize, u64>,
    network: Vec<Delivery>,
    /// Number of actions of each gateway, by index, whose messages have been put on the network.
    actions_collected: Vec<usize>,
}

impl Fleet {
    pub(crate) fn new(
        gateways: u32,
        servers: u64,
        customize: impl Fn(SettingsBuilder) -> SettingsBuilder,
    ) -> Self {
        let gateway = |number| {
            let settings = customize(SettingsBuilder::new(number, gateways)).build();
            GatewayHarness::with_servers(u64::from(number), settings, SECOND, servers)
        };
        let gateways: Vec<_> = (0..gateways).map(gateway).collect();
        Fleet {
            actions_collected: vec![0; gateways.len()],
            gateways,
            random: fastrand::Rng::with_seed(7),
            messages_sent: 0,
            messages_received: BTreeMap::new(),
            network: Vec::new(),
        }
    }

    pub(crate) fn now(&self) -> Micros {
        self.gateways[0].now
    }

    /// Returns the largest number of messages that any gateway has received.
    pub(crate) fn most_received(&self) -> u64 {
        self.messages_received.values().max().copied().unwrap_or(0)
    }

    /// Advances the clock of all gateways, and delivers the messages that are due.
    pub(crate) fn advance(&mut self, span: Micros) {
        let end = self.now() + span;
        while self.now() < end {
            for index in 0..self.gateways.len() {
                self.gateways[index].advance(2 * MILLISECOND);
                self.collect_messages(index);
            }
            self.deliver_messages();
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now();
        let (due, later): (Vec<_>, Vec<_>) = self
            .network
            .drain(..)
            .partition(|delivery| delivery.arrives_at <= now);
        self.network = later;
        for delivery in due {
            *self.messages_received.entry(delivery.to).or_default() += 1;
            self.gateways[delivery.to].handle(delivery.event);
            self.collect_messages(delivery.to);
        }
    }

    /// Puts the new messages of a gateway on the network.
    fn collect_messages(&mut self, from: usize) {
        let gateway = &self.gateways[from];
        for action in &gateway.actions[self.actions_collected[from]..] {
            let Action::SendToPeer { to, bytes } = action else {
                continue;
            };
            self.messages_sent += 1;
            for copies_of_twenty in [DELIVERED_OF_TWENTY, DUPLICATED_OF_TWENTY] {
                if self.random.u8(0..20) < copies_of_twenty {
                    let event = Event::PeerMessage {
                        from: GatewayId(from as u32),
                        bytes: bytes.clone(),
                    };
                    let arrives_at = gateway.now + self.random.u64(5..40) * MILLISECOND;
                    self.network.push(Delivery {
                        arrives_at,
                        to: to.0 as usize,
                        event,
                    });
                }
            }
        }
        self.actions_collected[from] = gateway.actions.len();
    }

    /// Completes all attempts in flight at all gateways with success, and returns how many there
    /// were.
    pub(crate) fn complete_all(&mut self) -> usize {
        self.gateways
            .iter_mut()
            .map(GatewayHarness::complete_all)
            .sum()
    }

    /// Sends `rate` requests of one customer per second through random gateways, and returns how
    /// many attempts were sent and completed.
    pub(crate) fn drive(&mut self, plan: PlanId, rate: u64, seconds: u64) -> usize {
        self.drive_chosen_gateways(plan, rate, seconds, |random, gateways| {
            random.usize(0..gateways)
        })
    }

    /// Sends `rate` requests of one customer per second. `choose` returns the index of the gateway
    /// for each request, and is given the number of gateways. Returns how many attempts were sent
    /// and completed.
    pub(crate) fn drive_chosen_gateways(
        &mut self,
        plan: PlanId,
        rate: u64,
        seconds: u64,
        choose: impl Fn(&mut fastrand::Rng, usize) -> usize,
    ) -> usize {
        let mut sent = 0;
        for _ in 0..seconds * rate {
            let index = choose(&mut self.random, self.gateways.len());
            self.gateways[index].request(IDEMPOTENT, plan, CUSTOMER, 2 * SECOND);
            self.collect_messages(index);
            self.advance(SECOND / rate);
            sent += self.complete_all();
        }
        sent
    }

    /// Replaces a gateway with a new gateway without state, which also receives the messages that
    /// are in transit to the old one.
    pub(crate) fn restart(&mut self, index: usize, seed: u64, settings: Settings, servers: u64) {
        let now = self.gateways[index].now;
        self.gateways[index] = GatewayHarness::with_servers(seed, settings, now, servers);
        self.actions_collected[index] = 0;
    }

    /// Replaces all gateways with new gateways without state and with the default settings.
    pub(crate) fn restart_all(&mut self, seed: u64, servers: u64) {
        let count = self.gateways.len();
        for index in 0..count {
            self.restart(
                index,
                seed,
                super::settings(index as u32, count as u32),
                servers,
            );
        }
    }
}
