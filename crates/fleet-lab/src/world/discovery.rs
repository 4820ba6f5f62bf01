//! Discovery: the list of servers, and how much of it each gateway has received. Changes reach each gateway after a
//! delay of its own. During an outage of discovery, or while a partition separates a gateway from it, nothing
//! arrives; afterwards all changes arrive together.

use super::draining::DrainingServers;
use super::{Rng, TimeSpan};
use crate::time::draw_duration;
use gateway_core::{
    Endpoint, EndpointState, EndpointUpdate, Event, GatewayId, ServerId, Timestamp,
};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Why a gateway's list is brought up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// A change is due.
    Scheduled,
    /// The gateway has made a call, which has to be answered.
    Requested,
}

/// What became of a poll for the list.
pub enum PollResult {
    /// The gateway gets this event.
    Update(Event),
    /// The gateway's call fails.
    CallFailed,
    /// Nothing arrives now: poll again at this time.
    RetryAt(Timestamp),
    /// There is nothing new.
    NoChange,
}

/// Positions of one server in the log.
struct ServerHistory {
    first_listed: usize,
    last_ready: usize,
}

/// The list, its history, and how much of that each gateway has received.
pub struct Discovery {
    endpoint_log: Vec<Endpoint>,
    histories: BTreeMap<ServerId, ServerHistory>,
    /// By gateway: how many entries of the log it has received.
    received: Vec<usize>,
    /// By gateway: servers that it knows to be draining or gone.
    draining: Vec<DrainingServers>,
    delay: Range<Duration>,
    outages: Vec<TimeSpan>,
    rng: Rng,
}

impl Discovery {
    /// A discovery service whose first list all gateways have received.
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

    /// Changes the list. Each gateway should be polled after the delay that [`Discovery::draw_delay`] returns.
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

    /// Whether a gateway has received any entry of a server.
    pub fn knows_server(&self, gateway: GatewayId, server: ServerId) -> bool {
        let received = self.received[gateway.0 as usize];
        self.histories
            .get(&server)
            .is_some_and(|history| history.first_listed < received)
    }

    /// Whether a gateway has received a server's latest start.
    pub fn knows_latest_start(&self, gateway: GatewayId, server: ServerId) -> bool {
        let received = self.received[gateway.0 as usize];
        self.histories
            .get(&server)
            .is_some_and(|history| history.last_ready < received)
    }

    /// Since when a gateway has known that a server is draining or gone.
    pub fn draining_since(&self, gateway: GatewayId, server: ServerId) -> Option<Timestamp> {
        self.draining[gateway.0 as usize].since(server)
    }

    /// The whole list as a gateway last had it, for its restart.
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

    /// Brings a gateway's list up to date; `isolated_until` is the end of a partition between it and discovery.
    /// A requested poll returns a result even if there is nothing new, or if the call fails.
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
            // Afterwards all gateways get the changes within one delay, not in one moment.
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

    /// Takes what a gateway has not received yet, and notes which servers it now knows to be draining.
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
