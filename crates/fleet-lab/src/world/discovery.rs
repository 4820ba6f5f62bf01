//! Discovery: the endpoint list, and how much of it each gateway has received. A change reaches
//! each gateway after a delay of its own. During an outage of discovery, or while a partition
//! separates a gateway from discovery, the gateway receives nothing; afterwards it receives all
//! missed changes together.

use super::draining::DrainingServers;
use super::{Rng, TimeSpan};
use crate::time::draw_duration;
use gateway_core::{
    Endpoint, EndpointState, EndpointUpdate, Event, GatewayId, ServerId, Timestamp,
};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// The reason why a gateway's endpoint list is brought up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// A published change is due at the gateway.
    Scheduled,
    /// The gateway called discovery and needs a reply.
    Requested,
}

/// Result of a poll of the endpoint list.
pub enum PollResult {
    /// The gateway receives this event.
    Update(Event),
    /// The gateway's call to discovery fails.
    CallFailed,
    /// The gateway cannot reach discovery. The poll must be repeated at this time.
    RetryAt(Timestamp),
    /// The gateway has already received all changes.
    NoChange,
}

/// Positions of one server's entries in the endpoint log.
struct ServerHistory {
    first_listed: usize,
    last_ready: usize,
}

/// The endpoint list with its history, and how much of it each gateway has received.
pub struct Discovery {
    /// All published endpoint states, in the order in which they were published.
    endpoint_log: Vec<Endpoint>,
    histories: BTreeMap<ServerId, ServerHistory>,
    /// Number of entries of the log that a gateway has received, by gateway.
    received: Vec<usize>,
    /// Servers that a gateway knows to be draining or gone, by gateway.
    draining: Vec<DrainingServers>,
    delay: Range<Duration>,
    outages: Vec<TimeSpan>,
    rng: Rng,
}

impl Discovery {
    /// Creates a discovery service whose initial endpoints all gateways have received.
    pub fn new(
        rng: Rng,
        initial_endpoints: Vec<Endpoint>,
        gateways: usize,
        delay: Range<Duration>,
        outages: Vec<TimeSpan>,
    ) -> Discovery {
        let history = |(position, endpoint): (usize, &Endpoint)| {
            (
                endpoint.server,
                ServerHistory {
                    first_listed: position,
                    last_ready: position,
                },
            )
        };
        Discovery {
            histories: initial_endpoints.iter().enumerate().map(history).collect(),
            received: vec![initial_endpoints.len(); gateways],
            draining: vec![DrainingServers::default(); gateways],
            endpoint_log: initial_endpoints,
            delay,
            outages,
            rng,
        }
    }

    /// Publishes the new state of an endpoint. Each gateway should be polled after the delay that
    /// [`Discovery::draw_delay`] returns.
    pub fn publish(&mut self, endpoint: Endpoint) {
        let position = self.endpoint_log.len();
        let history = ServerHistory {
            first_listed: position,
            last_ready: position,
        };
        let history = self.histories.entry(endpoint.server).or_insert(history);
        if endpoint.state == EndpointState::Ready {
            history.last_ready = position;
        }
        self.endpoint_log.push(endpoint);
    }

    /// Draws the delay after which one gateway receives a change.
    pub fn draw_delay(&mut self) -> Duration {
        draw_duration(&mut self.rng, &self.delay)
    }

    /// Returns whether a gateway has received any state of a server.
    pub fn knows_server(&self, gateway: GatewayId, server: ServerId) -> bool {
        let received = self.received[gateway.0 as usize];
        self.histories
            .get(&server)
            .is_some_and(|history| history.first_listed < received)
    }

    /// Returns whether a gateway has received a server's latest start.
    pub fn knows_latest_start(&self, gateway: GatewayId, server: ServerId) -> bool {
        let received = self.received[gateway.0 as usize];
        self.histories
            .get(&server)
            .is_some_and(|history| history.last_ready < received)
    }

    /// Returns the time since which a gateway has known that a server is draining or gone; `None`
    /// if the gateway knows of no drain.
    pub fn draining_since(&self, gateway: GatewayId, server: ServerId) -> Option<Timestamp> {
        self.draining[gateway.0 as usize].since(server)
    }

    /// Returns a snapshot of the endpoint list as a gateway last received it. The gateway starts
    /// and restarts with this list.
    pub fn last_snapshot(&self, gateway: GatewayId) -> Event {
        let mut known = BTreeMap::new();
        for endpoint in &self.endpoint_log[..self.received[gateway.0 as usize]] {
            known.insert(endpoint.server, *endpoint);
        }
        known.retain(|_, endpoint| endpoint.state != EndpointState::Gone);
        Event::EndpointsUpdated {
            kind: EndpointUpdate::Snapshot,
            endpoints: known.into_values().collect(),
        }
    }

    /// Brings a gateway's endpoint list up to date. `isolated_until` is the end of a partition
    /// between the gateway and discovery. A requested poll returns a result for the gateway even if
    /// there is no change or the call fails.
    pub fn poll(
        &mut self,
        now: Timestamp,
        gateway: GatewayId,
        isolated_until: Option<Timestamp>,
        kind: PollKind,
    ) -> PollResult {
        let outage = self
            .outages
            .iter()
            .filter(|span| span.contains(now))
            .map(|span| span.end)
            .max();
        if let Some(until) = outage.max(isolated_until) {
            // The extra delay spreads the polls of all gateways after the outage instead of
            // repeating them at the same moment.
            let extra_delay = self.draw_delay() / 4;
            return match kind {
                PollKind::Requested => PollResult::CallFailed,
                PollKind::Scheduled => PollResult::RetryAt(until + extra_delay),
            };
        }
        let endpoints = self.deliver(now, gateway);
        if endpoints.is_empty() && kind == PollKind::Scheduled {
            return PollResult::NoChange;
        }
        PollResult::Update(Event::EndpointsUpdated {
            kind: EndpointUpdate::Delta,
            endpoints,
        })
    }

    /// Returns the changes that a gateway has not received yet, marks them as received, and records
    /// the servers that the gateway now knows to be draining or gone.
    fn deliver(&mut self, now: Timestamp, gateway: GatewayId) -> Vec<Endpoint> {
        let received = &mut self.received[gateway.0 as usize];
        let endpoints = self.endpoint_log[*received..].to_vec();
        *received = self.endpoint_log.len();
        let draining = &mut self.draining[gateway.0 as usize];
        for endpoint in &endpoints {
            draining.state_received(now, endpoint.server, endpoint.state);
        }
        endpoints
    }
}
