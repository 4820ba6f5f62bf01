//! What all parts of a run share.

use super::datagrams::Datagrams;
use super::endpoint_registry::EndpointRegistry;
use super::ledger::Ledger;
use super::scenario::Scenario;
use super::servers::Server;
use gateway_core::{Endpoint, GatewayId, Timestamp};
use std::cell::RefCell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never goes back. Real and hollow nodes exchange times of it. The simulation has no clock, since its
/// time is that of the next event.
pub(super) struct Clock {
    started: Instant,
    /// Unix time at the start.
    unix_start: Timestamp,
}

impl Clock {
    /// A clock that starts now.
    pub(super) fn start() -> Clock {
        let unix_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_start: Timestamp::EPOCH + unix_start,
        }
    }

    /// The time.
    pub(super) fn now(&self) -> Timestamp {
        self.unix_start + self.started.elapsed()
    }
}

/// The environment of the nodes of one run.
pub(super) struct Environment {
    /// The clock.
    pub(super) clock: Clock,
    /// What the clients ask for.
    pub(super) scenario: Scenario,
    /// The record of all requests.
    pub(super) ledger: RefCell<Ledger>,
    /// The servers.
    pub(super) servers: Vec<Server>,
    /// The list of servers as discovery has it.
    pub(super) registry: EndpointRegistry,
    /// The messages between nodes.
    pub(super) datagrams: Datagrams,
}

impl Environment {
    /// Records that a node has received these entries of the list now.
    pub(super) fn record_update(&self, node: GatewayId, endpoints: &[Endpoint]) {
        let now = self.clock.now();
        let mut ledger = self.ledger.borrow_mut();
        for endpoint in endpoints {
            ledger.endpoint_received(now, node, endpoint.server, endpoint.state);
        }
    }
}
