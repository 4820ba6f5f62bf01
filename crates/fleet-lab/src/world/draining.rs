//! Which servers a gateway knows to be draining or gone, and how long it may continue to send to
//! them.

use gateway_core::{EndpointState, ServerId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// The servers that one gateway knows to be draining or gone.
#[derive(Clone, Debug, Default)]
pub struct DrainingServers {
    /// Time of the first notification that a server is draining or gone.
    since: BTreeMap<ServerId, Timestamp>,
}

impl DrainingServers {
    /// Records a server's state that the gateway has received from discovery. Returns whether the
    /// gateway first learns from this state that the server is draining or gone.
    pub fn state_received(
        &mut self,
        now: Timestamp,
        server: ServerId,
        state: EndpointState,
    ) -> bool {
        if state == EndpointState::Ready {
            self.since.remove(&server);
            return false;
        }
        let is_new_drain = !self.since.contains_key(&server);
        self.since.entry(server).or_insert(now);
        is_new_drain
    }

    /// Returns the time since which the gateway has known that a server is draining or gone; `None`
    /// if the gateway knows of no drain.
    pub fn since(&self, server: ServerId) -> Option<Timestamp> {
        self.since.get(&server).copied()
    }
}

/// Time for which a gateway may continue to send to a server once it knows that the server is
/// draining or gone.
#[derive(Clone, Copy, Debug)]
pub struct DrainGrace(pub Duration);

impl DrainGrace {
    /// Returns whether the drain grace has ended for a gateway that has known of the drain since
    /// `draining_since`.
    pub fn is_over(self, now: Timestamp, draining_since: Timestamp) -> bool {
        now > draining_since + self.0
    }
}
