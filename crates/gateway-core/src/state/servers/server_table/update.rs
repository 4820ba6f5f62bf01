//! Application of endpoint updates to the server table.

use super::ServerTable;
use crate::message::short_id;
use crate::state::servers::server::Server;
use crate::time::Timestamp;
use crate::types::{Endpoint, EndpointState, EndpointUpdate, ServerId};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, HashMap};

/// Returns whether an endpoint is marked as ready for new requests.
fn is_ready(endpoint: &Endpoint) -> bool {
    endpoint.state == EndpointState::Ready
}

impl ServerTable {
    /// Applies a snapshot of the endpoint list, or a delta to it. All observations of a server that
    /// has restarted are dropped.
    pub(crate) fn apply_update(
        &mut self,
        now: Timestamp,
        kind: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        match kind {
            EndpointUpdate::Snapshot => self.apply_snapshot(now, endpoints),
            EndpointUpdate::Delta => {
                for endpoint in endpoints {
                    self.apply_change(now, endpoint);
                }
            }
        }
        if self.scans_all() {
            for (id, endpoint) in std::mem::take(&mut self.untracked) {
                self.tracked
                    .insert(id, Server::unknown(endpoint, now, self.classes));
            }
        }
    }

    /// Applies the change of one endpoint in a delta.
    fn apply_change(&mut self, now: Timestamp, endpoint: Endpoint) {
        let id = endpoint.server;
        let previous = self
            .get(&id)
            .filter(|server| server.is_ready())
            .map(|server| server.endpoint);
        let should_track = self.scans_all();
        let after = match self.update_tracked(now, endpoint, should_track) {
            Some(server) => server.is_ready().then_some(server.endpoint),
            None => Some(endpoint).filter(is_ready),
        };
        let is_tracked = self.tracked.contains_key(&id);
        let untracked = match after.filter(|_| !is_tracked) {
            Some(endpoint) => self.untracked.insert(id, endpoint),
            None => self.untracked.remove(&id),
        };
        if after.is_some() {
            self.by_short_id.insert(short_id(id), id);
        } else if !is_tracked {
            self.remove_short_id(id);
        }
        self.reindex(now, previous.or(untracked), after);
    }

    /// Applies an endpoint to its tracked server and returns the server. If the server is not
    /// tracked, starts to track it if `should_track` is set, and returns `None` otherwise.
    fn update_tracked(
        &mut self,
        now: Timestamp,
        endpoint: Endpoint,
        should_track: bool,
    ) -> Option<&Server> {
        let fresh = || Server::unknown(endpoint, now, self.classes);
        let server = match self.tracked.entry(endpoint.server) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(vacant) if should_track => vacant.insert(fresh()),
            Entry::Vacant(_) => return None,
        };
        if is_ready(&endpoint) {
            if server.endpoint.started_at != endpoint.started_at {
                self.index.update(server, false);
                *server = fresh().with_in_flight(server.in_flight);
            }
            server.endpoint = endpoint;
        } else {
            // The server keeps its zone and cell: requests that it may have executed are bound to
            // them.
            server.endpoint.state = endpoint.state;
        }
        let ready = server.is_ready();
        self.index.update(server, ready);
        Some(server)
    }

    /// Updates the ring, cells and warm-ups after a server's ready endpoint changed from `before`
    /// to `after`; `None` means that the server is not ready.
    fn reindex(&mut self, now: Timestamp, before: Option<Endpoint>, after: Option<Endpoint>) {
        if before == after {
            return;
        }
        if let Some(endpoint) = before {
            self.ring.remove(endpoint.server);
            self.cells.remove(&(endpoint.cell, endpoint.server));
            if let Some(started_at) = endpoint.started_at {
                self.warming_up.remove(&(started_at, endpoint.server));
            }
        }
        if let Some(endpoint) = after {
            self.ring.insert(endpoint.server);
            self.cells.insert((endpoint.cell, endpoint.server));
            self.warming_up.extend(self.warm_up_entry(now, &endpoint));
        }
    }

    /// Returns a server's entry in `warming_up`; `None` if the server is not warming up.
    fn warm_up_entry(&self, now: Timestamp, endpoint: &Endpoint) -> Option<(Timestamp, ServerId)> {
        let started_at = endpoint.started_at?;
        let is_warming_up = started_at + self.warm_up_period > now;
        is_warming_up.then_some((started_at, endpoint.server))
    }

    /// Applies a snapshot, which replaces the endpoint list.
    fn apply_snapshot(&mut self, now: Timestamp, endpoints: Vec<Endpoint>) {
        let should_track = self.will_scan_all(&endpoints);
        let mut before = std::mem::take(&mut self.untracked);
        if !before.is_empty() {
            self.by_short_id = self.tracked.keys().map(|id| (short_id(*id), *id)).collect();
        }
        for server in self.tracked.values_mut() {
            server.endpoint.state = EndpointState::Gone;
        }
        let mut untracked = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            self.visit();
            if is_ready(&endpoint) {
                self.by_short_id
                    .insert(short_id(endpoint.server), endpoint.server);
            }
            if should_track {
                self.track_untracked(now, &mut before, endpoint.server);
            }
            if self.update_tracked(now, endpoint, should_track).is_none() {
                untracked.push((endpoint.server, endpoint));
            }
        }
        self.untracked = untracked.into_iter().collect();
        if self.untracked.values().any(|endpoint| !is_ready(endpoint)) {
            self.untracked.retain(|_, endpoint| is_ready(endpoint));
        }
        self.rebuild_indexes(now);
    }

    /// Returns whether a snapshot leaves so few servers ready that all may be scanned. The last
    /// entry of a server counts: a list that names a server twice may have fewer ready servers than
    /// entries.
    fn will_scan_all(&self, endpoints: &[Endpoint]) -> bool {
        if endpoints.len() <= self.full_scan_limit {
            return true;
        }
        let last_entries = endpoints
            .iter()
            .map(|endpoint| (endpoint.server, is_ready(endpoint)));
        let last_entries: HashMap<_, _> = last_entries.collect();
        last_entries.values().filter(|ready| **ready).count() <= self.full_scan_limit
    }

    /// Tracks a server of which only the endpoint was retained before a snapshot, so that it keeps
    /// its zone and cell if it is no longer ready.
    fn track_untracked(
        &mut self,
        now: Timestamp,
        before: &mut BTreeMap<ServerId, Endpoint>,
        id: ServerId,
    ) {
        if let Some(known) = before.remove(&id) {
            let known = Endpoint {
                state: EndpointState::Gone,
                ..known
            };
            self.tracked
                .insert(id, Server::unknown(known, now, self.classes));
        }
    }

    /// Rebuilds all indexes from the servers that are ready.
    fn rebuild_indexes(&mut self, now: Timestamp) {
        // This also removes servers that are no longer listed from the index.
        for server in self.tracked.values_mut() {
            let ready = server.is_ready();
            self.index.update(server, ready);
        }
        let tracked = self
            .tracked
            .values()
            .filter(|server| server.is_ready())
            .map(|server| &server.endpoint);
        let ready = || tracked.clone().chain(self.untracked.values());
        self.cells = ready()
            .map(|endpoint| (endpoint.cell, endpoint.server))
            .collect();
        self.warming_up = ready()
            .filter_map(|endpoint| self.warm_up_entry(now, endpoint))
            .collect();
        self.ring = ready().map(|endpoint| endpoint.server).collect();
    }
}
