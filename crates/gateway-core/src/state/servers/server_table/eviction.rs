//! Eviction of servers that are gone or idle. Without it, memory would grow with every server ever
//! listed.

use super::ServerTable;
use crate::message::short_id;
use crate::time::Timestamp;
use crate::types::{EndpointState, ServerId};
use std::time::Duration;

impl ServerTable {
    /// Evicts servers that are gone and have no attempt in flight. If there are too many servers to
    /// track all, also stops tracking idle servers: not used for `max_idle`, not ejected, and
    /// without attempts in flight.
    pub(crate) fn evict_idle(&mut self, now: Timestamp, max_idle: Duration) {
        let scans_all = self.scans_all();
        let mut gone = Vec::new();
        let mut idle = Vec::new();
        for server in self.iter_tracked().filter(|server| server.in_flight == 0) {
            if server.endpoint.state == EndpointState::Gone {
                gone.push(server.endpoint.server);
            } else if !scans_all
                && now.duration_since(server.last_used_at) >= max_idle
                && !server.is_ejected_for_any_class()
            {
                idle.push(server.endpoint.server);
            }
        }
        for id in gone {
            self.tracked.remove(&id);
            self.remove_short_id(id);
        }
        for id in idle {
            self.stop_tracking(id);
        }
    }

    /// Drops the health of a server; retains only its endpoint if it is ready, and nothing
    /// otherwise.
    fn stop_tracking(&mut self, id: ServerId) {
        let Some(mut server) = self.tracked.remove(&id) else {
            return;
        };
        self.index.update(&mut server, false);
        if server.is_ready() {
            self.untracked.insert(id, server.endpoint);
        } else {
            self.remove_short_id(id);
        }
    }

    /// Removes the short id of a server that is no longer listed.
    pub(super) fn remove_short_id(&mut self, id: ServerId) {
        let short = short_id(id);
        if self.by_short_id.get(&short) == Some(&id) {
            self.by_short_id.remove(&short);
        }
    }
}
