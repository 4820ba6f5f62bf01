//! The server table: all servers on the endpoint list.
//!
//! Each server that this gateway uses is tracked, with its health. If too many servers are ready to
//! track all of them, the table retains only the endpoints of the ready servers that are not used.

mod candidates;
mod eviction;
mod health_summary;
mod reports;
mod ring;
mod update;

pub(crate) use candidates::{Candidate, CandidateQuery};

use super::hash_ring::HashRing;
use super::server::Server;
use super::server_index::{ServerGuard, ServerIndex};
use super::slow_start_credit::SlowStartCredit;
use crate::message::ShortServerId;
use crate::settings::{ServerRules, Settings};
use crate::time::Timestamp;
use crate::types::{CellId, Endpoint, ServerId};
use std::cell::Cell;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// All servers on the endpoint list.
#[derive(Default)]
pub(crate) struct ServerTable {
    classes: usize,
    /// Time that a server takes to warm up, from its start.
    warm_up_period: Duration,
    /// Maximum number of ready servers for which all servers are tracked.
    full_scan_limit: usize,
    /// The tracked servers: all servers, while at most `full_scan_limit` are ready.
    tracked: BTreeMap<ServerId, Server>,
    /// The endpoints of ready servers that are not tracked.
    untracked: BTreeMap<ServerId, Endpoint>,
    /// The ready servers, ordered by hash.
    ring: HashRing,
    /// The ready servers, ordered by cell.
    cells: BTreeSet<(CellId, ServerId)>,
    /// The ready servers that are warming up, ordered by the time of their start.
    warming_up: BTreeSet<(Timestamp, ServerId)>,
    /// Server ids by the short ids that health reports have instead of them.
    by_short_id: HashMap<ShortServerId, ServerId>,
    index: ServerIndex,
    /// Number of servers visited since the gateway started.
    visited: Cell<u64>,
}

/// A server that is warming up, and its slow-start credit.
pub(crate) struct WarmingServer<'a> {
    /// Minimum fraction of its full capacity that the server has, less than 1.
    pub(crate) warm_up_fraction: f64,
    /// Slow-start credit of the server, which a control tick adds to.
    pub(crate) credit: &'a mut SlowStartCredit,
}

impl ServerTable {
    /// Creates an empty table. While at most `full_scan_limit` servers are ready, all servers are
    /// tracked and may be scanned.
    pub(crate) fn new(settings: &Settings, full_scan_limit: usize) -> Self {
        let classes = settings.classes.len();
        ServerTable {
            classes,
            warm_up_period: settings.rules.warm_up_period,
            full_scan_limit,
            index: ServerIndex::new(classes),
            ..ServerTable::default()
        }
    }

    /// Returns whether so few servers are ready that all servers are tracked and may be scanned.
    pub(crate) fn scans_all(&self) -> bool {
        self.ring.len() <= self.full_scan_limit
    }

    /// Returns the number of servers visited since the gateway started, a measure of work for
    /// tests.
    pub(crate) fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Counts a visit of a server.
    fn visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// Returns the number of servers and short ids in memory.
    pub(crate) fn tracked_entries(&self) -> usize {
        self.tracked.len() + self.untracked.len() + self.by_short_id.len()
    }

    /// Returns the server that a short id in a health report identifies.
    pub(crate) fn by_short_id(&self, short: ShortServerId) -> Option<ServerId> {
        self.by_short_id.get(&short).copied()
    }

    /// Returns a server if it is tracked.
    pub(crate) fn get(&self, id: &ServerId) -> Option<&Server> {
        self.visit();
        self.tracked.get(id)
    }

    /// Tracks a server from now on, if it is in the table.
    pub(crate) fn track(&mut self, now: Timestamp, id: &ServerId) {
        self.get_or_track(now, id);
    }

    /// Returns write access to a server; `None` if the server is not in the table. The server is
    /// tracked from now on, and counts as used now.
    pub(crate) fn get_or_track(
        &mut self,
        now: Timestamp,
        id: &ServerId,
    ) -> Option<ServerGuard<'_>> {
        self.visit();
        let server = match self.tracked.entry(*id) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(vacant) => {
                let endpoint = self.untracked.remove(id)?;
                vacant.insert(Server::unknown(endpoint, now, self.classes))
            }
        };
        server.last_used_at = now;
        Some(ServerGuard {
            server,
            index: &mut self.index,
        })
    }

    /// Records that an attempt is no longer in flight at a server.
    pub(crate) fn record_attempt_finished(&mut self, id: &ServerId) {
        self.visit();
        if let Some(server) = self.tracked.get_mut(id) {
            server.record_attempt_finished();
        }
    }

    /// Iterates over the tracked servers, ordered by id.
    pub(crate) fn iter_tracked(&self) -> impl Iterator<Item = &Server> {
        self.tracked.values().inspect(|_| self.visit())
    }

    /// Iterates over the tracked servers that are warming up, ordered by id.
    pub(crate) fn warming_up_mut<'a>(
        &'a mut self,
        now: Timestamp,
        rules: &'a ServerRules,
    ) -> impl Iterator<Item = WarmingServer<'a>> {
        let visited = &self.visited;
        self.tracked
            .values_mut()
            .inspect(|_| visited.set(visited.get() + 1))
            .filter(move |server| !server.is_warm(rules, now))
            .map(move |server| WarmingServer {
                warm_up_fraction: server.warm_up_fraction(rules, now),
                credit: &mut server.slow_start_credit,
            })
    }

    /// Iterates over the tracked servers that are ready, ordered by id.
    pub(crate) fn iter_ready(&self) -> impl Iterator<Item = &Server> {
        self.iter_tracked().filter(|server| server.is_ready())
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/server_table.rs"]
mod tests;
