//! What all parts of a run share.

use super::datagrams::Datagrams;
use super::discovery::Roster;
use super::ledger::Ledger;
use super::scenario::Scene;
use super::servers::Server;
use edge_node::{Endpoint, EndpointState, GatewayId, Micros};
use std::cell::RefCell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never goes back. Real and hollow nodes tell each other times of it.
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    /// Begins now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// In µs.
    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }
}

/// One run.
pub struct World {
    /// The time.
    pub clock: Clock,
    /// Who asks for what.
    pub scene: Scene,
    /// What happened to it.
    pub ledger: RefCell<Ledger>,
    /// The loan servers.
    pub servers: Vec<Server>,
    /// What discovery holds of them.
    pub roster: Roster,
    /// What nodes say to each other.
    pub datagrams: Datagrams,
}

impl World {
    /// Notes that a node is told of these servers now, in µs.
    pub fn tell(&self, now: Micros, node: GatewayId, news: &[Endpoint]) {
        let mut ledger = self.ledger.borrow_mut();
        news.iter()
            .for_each(|entry| ledger.told(now, node, entry.server, entry.state == EndpointState::Ready));
    }
}
