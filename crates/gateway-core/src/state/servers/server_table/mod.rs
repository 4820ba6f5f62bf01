//! The server table: all servers on the endpoint list.
//!
//! A server that this gateway uses is tracked, with its health. Where too many are ready to track
//! all, only the endpoint of each other one is retained.

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
    /// Number of request classes.
    classes: usize,
    /// Time that a server takes to warm up.
    warm_up_period: Duration,
    /// Number of ready servers up to which all are tracked.
    full_scan_limit: usize,
    /// The tracked servers; all, as long as at most `full_scan_limit` are ready.
    tracked: BTreeMap<ServerId, Server>,
    /// The endpoints of the other ready servers.
    untracked: BTreeMap<ServerId, Endpoint>,
    /// The ready servers in the order of their hashes.
    ring: HashRing,
    /// The ready servers by cell.
    cells: BTreeSet<(CellId, ServerId)>,
    /// The ready servers that are warming up, by the time of their start.
    warming_up: BTreeSet<(Timestamp, ServerId)>,
    by_short_id: HashMap<ShortServerId, ServerId>,
    index: ServerIndex,
    /// Number of servers looked at since the start.
    visited: Cell<u64>,
}

/// A server that warms up, to be granted slow-start credit.
pub(crate) struct WarmingServer<'a> {
    /// Minimum fraction of its capacity that the server has by now.
    pub(crate) warm_up_fraction: f64,
    /// Its slow-start credit.
    pub(crate) credit: &'a mut SlowStartCredit,
}

impl ServerTable {
    /// An empty table. All servers are tracked, and may be scanned, as long as at most
    /// `full_scan_limit` are ready.
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

    /// Whether so few are ready that all are tracked and may be scanned.
    pub(crate) fn scans_all(&self) -> bool {
        self.ring.len() <= self.full_scan_limit
    }

    /// How many servers were looked at since the start: work that tests can count.
    pub(crate) fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Counts that a server was looked at.
    fn visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// How many servers and short ids are in memory.
    pub(crate) fn tracked_entries(&self) -> usize {
        self.tracked.len() + self.untracked.len() + self.by_short_id.len()
    }

    /// The server that health reports call by this short id.
    pub(crate) fn by_short_id(&self, short: ShortServerId) -> Option<ServerId> {
        self.by_short_id.get(&short).copied()
    }

    /// A tracked server.
    pub(crate) fn get(&self, id: &ServerId) -> Option<&Server> {
        self.visit();
        self.tracked.get(id)
    }

    /// Tracks a server from now on.
    pub(crate) fn track(&mut self, now: Timestamp, id: &ServerId) {
        self.get_or_track(now, id);
    }

    /// A server to be changed. It is tracked from now on, and counts as used now.
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

    /// The tracked servers, in the order of their ids.
    pub(crate) fn iter_tracked(&self) -> impl Iterator<Item = &Server> {
        self.tracked.values().inspect(|_| self.visit())
    }

    /// The tracked servers that warm up, in the order of their ids: the fraction of its capacity
    /// that each has, and its slow-start credit to be changed.
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

    /// The tracked servers that are ready.
    pub(crate) fn iter_ready(&self) -> impl Iterator<Item = &Server> {
        self.iter_tracked().filter(|server| server.is_ready())
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/server_table.rs"]
mod tests;
