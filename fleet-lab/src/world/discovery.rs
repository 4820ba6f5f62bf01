//! Discovery: the list of servers, and what each gateway has been told of it. Lists come late, each gateway's by a
//! delay of its own; while discovery is silent, or a gateway cut off from it, nothing comes, and later all at once.

use super::{Rng, Span};
use edge_node::{Endpoint, EndpointState, EndpointUpdate, Event, GatewayId, Micros, ServerId};
use rand::Rng as _;
use std::collections::BTreeMap;
use std::ops::Range;

/// What became of a call for the list.
pub enum Told {
    /// The gateway hears this.
    Event(Event),
    /// The call that it made fails.
    Fails,
    /// Nothing yet: try again then.
    Later(Micros),
    /// Nothing: there is nothing new.
    Nothing,
}

/// The list, its history, and how far each gateway has come in that.
pub struct Discovery {
    log: Vec<Endpoint>,
    /// Where in the log a server was first named, and where it was last said to be ready.
    named: BTreeMap<ServerId, (usize, usize)>,
    /// By gateway: how much of the log it has been told.
    seen: Vec<usize>,
    /// By gateway: what it was told leaves, and when it was told.
    leaving: Vec<BTreeMap<ServerId, Micros>>,
    delay: Range<Micros>,
    silent: Vec<Span>,
    rng: Rng,
}

impl Discovery {
    /// One that has told every gateway the first list.
    pub fn new(
        rng: Rng, first: Vec<Endpoint>, gateways: usize, delay: Range<Micros>, silent: Vec<Span>,
    ) -> Self {
        let named = first.iter().enumerate().map(|(place, entry)| (entry.server, (place, place))).collect();
        let (seen, leaving) = (vec![first.len(); gateways], vec![BTreeMap::new(); gateways]);
        Discovery { log: first, named, seen, leaving, delay, silent, rng }
    }

    /// The list changes. Each gateway should be polled at the time that [`Discovery::delay`] gives.
    pub fn publish(&mut self, entry: Endpoint) {
        let place = self.log.len();
        let named = self.named.entry(entry.server).or_insert((place, place));
        if entry.state == EndpointState::Ready {
            named.1 = place;
        }
        self.log.push(entry);
    }

    /// How late one gateway hears of a change, µs.
    pub fn delay(&mut self) -> Micros {
        self.rng.random_range(self.delay.clone())
    }

    /// Whether a gateway has been told of a server.
    pub fn knows(&self, node: GatewayId, server: ServerId) -> bool {
        self.named.get(&server).is_some_and(|(first, _)| *first < self.seen[node.0 as usize])
    }

    /// Whether a gateway has been told of a server's last start.
    pub fn knows_start(&self, node: GatewayId, server: ServerId) -> bool {
        self.named.get(&server).is_some_and(|(_, last)| *last < self.seen[node.0 as usize])
    }

    /// Since when a gateway has been told that a server leaves.
    pub fn told_leaving(&self, node: GatewayId, server: ServerId) -> Option<Micros> {
        self.leaving[node.0 as usize].get(&server).copied()
    }

    /// The whole list as a gateway last had it, for its start.
    pub fn known(&self, node: GatewayId) -> Event {
        let mut known = BTreeMap::new();
        for entry in &self.log[..self.seen[node.0 as usize]] {
            known.insert(entry.server, *entry);
        }
        known.retain(|_, entry| entry.state != EndpointState::Gone);
        Event::EndpointsUpdated { kind: EndpointUpdate::Snapshot, endpoints: known.into_values().collect() }
    }

    /// A gateway is due to be told what is new; `cut` says until when it is cut off from discovery. One that has
    /// asked is told even that there is nothing new, or that the call failed.
    pub fn poll(&mut self, now: Micros, node: GatewayId, cut: Option<Micros>, asked: bool) -> Told {
        let silent = self.silent.iter().filter(|span| span.holds(now)).map(|span| span.to).max();
        if let Some(until) = silent.max(cut) {
            // At the return all gateways are told within one delay, not in one moment.
            let late = self.delay() / 4;
            return if asked { Told::Fails } else { Told::Later(until + late) };
        }
        let seen = &mut self.seen[node.0 as usize];
        let entries = self.log[std::mem::replace(seen, self.log.len())..].to_vec();
        let leaving = &mut self.leaving[node.0 as usize];
        for entry in &entries {
            match entry.state {
                EndpointState::Ready => leaving.remove(&entry.server),
                _ => Some(*leaving.entry(entry.server).or_insert(now)),
            };
        }
        match entries.is_empty() && !asked {
            true => Told::Nothing,
            false => Told::Event(Event::EndpointsUpdated { kind: EndpointUpdate::Delta, endpoints: entries }),
        }
    }
}
