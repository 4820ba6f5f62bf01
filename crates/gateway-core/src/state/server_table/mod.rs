//! The server table: all servers that a gateway has been notified of. A server that this gateway uses is
//! tracked, with its health; of the others, where there are too many to track all, only the endpoint is kept.

mod update;

use super::hash_ring::HashRing;
use super::server::Server;
use super::server_index::{ServerGuard, ServerIndex};
use crate::message::{short_id, HealthReport, ShortServerId};
use crate::settings::Settings;
use crate::time::Timestamp;
use crate::types::{CellId, ClassId, Endpoint, EndpointState, GatewayId, ServerId};
use std::cell::Cell;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// All servers that a gateway has been notified of.
#[derive(Default)]
pub(crate) struct ServerTable {
    classes: usize,
    warm_up_period: Duration,
    max_walked: usize,
    /// The tracked ones; all, as long as at most `max_walked` are ready.
    tracked: BTreeMap<ServerId, Server>,
    /// The other ready ones.
    untracked: BTreeMap<ServerId, Endpoint>,
    /// The ready ones: by hash, by cell, and by their start those that are still warming up.
    ring: HashRing,
    cells: BTreeSet<(CellId, ServerId)>,
    warming_up: BTreeSet<(Timestamp, ServerId)>,
    by_short_id: HashMap<ShortServerId, ServerId>,
    index: ServerIndex,
    visited: Cell<u64>,
}

/// Which servers [`ServerTable::find_candidates`] looks at, in this order: of a cell, if one is named; of a
/// subset of the ring, from a place in it on and round; those beyond the subset.
pub(crate) struct CandidateQuery {
    pub(crate) cell: Option<CellId>,
    /// Where the subset begins on the ring.
    pub(crate) subset_position: usize,
    pub(crate) subset_size: usize,
    /// Place in the subset to begin at.
    pub(crate) subset_start: usize,
    /// The most servers to look at, and the most to find.
    pub(crate) max_visited: usize,
    pub(crate) max_found: usize,
}

/// A server found by [`ServerTable::find_candidates`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Candidate {
    pub(crate) server: ServerId,
    pub(crate) tracked: bool,
}

impl ServerTable {
    /// An empty table. All servers are tracked, and may be walked, as long as at most `max_walked` are ready.
    pub(crate) fn new(settings: &Settings, max_walked: usize) -> Self {
        let classes = settings.classes.len();
        ServerTable {
            classes,
            warm_up_period: settings.rules.warm_up_period,
            max_walked,
            index: ServerIndex::new(classes),
            ..ServerTable::default()
        }
    }

    /// Whether so few are ready that all are tracked and may be walked.
    pub(crate) fn walks_all(&self) -> bool {
        self.ring.len() <= self.max_walked
    }

    /// How many servers were looked at since the start: work that tests can count.
    pub(crate) fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// How many servers and names are kept.
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

    /// The server as a candidate, if something holds of it.
    fn candidate_if(&self, id: ServerId, holds: impl Fn(&Server) -> bool) -> Option<Candidate> {
        if let Some(server) = self.get(&id) {
            return holds(server).then_some(Candidate {
                server: id,
                tracked: true,
            });
        }
        let unknown = Server::unknown(*self.untracked.get(&id)?, Timestamp::EPOCH, 0);
        holds(&unknown).then_some(Candidate {
            server: id,
            tracked: false,
        })
    }

    /// Servers of which something holds, in the order of their ids: for each class the ejected one whose
    /// probe is longest due, then those that the query finds.
    pub(crate) fn find_candidates(
        &self,
        now: Timestamp,
        query: &CandidateQuery,
        holds: impl Fn(&Server) -> bool + Copy,
    ) -> Vec<Candidate> {
        let candidate = |id| self.candidate_if(id, holds);
        let probe = |class| {
            self.probes_due(ClassId(class), now)
                .take(query.max_found)
                .find_map(candidate)
        };
        let probes = (0..self.classes).filter_map(probe);
        let others = self
            .query_order(query)
            .filter_map(candidate)
            .take(query.max_found);
        let mut found: Vec<_> = probes.chain(others).collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    fn query_order<'a>(&'a self, query: &'a CandidateQuery) -> impl Iterator<Item = ServerId> + 'a {
        let position = query.subset_position;
        let in_cell = query.cell.into_iter().flat_map(|cell| self.in_cell(cell));
        let from_start = self.ring_from(position + query.subset_start);
        let from_start = from_start.take(query.subset_size - query.subset_start);
        let before_start = self.ring_from(position).take(query.subset_start);
        let beyond = self.ring_from(position + query.subset_size);
        let order = in_cell
            .take(query.max_visited / 2)
            .chain(from_start)
            .chain(before_start)
            .chain(beyond);
        order.take(query.max_visited)
    }

    /// Tracks a server from now on.
    pub(crate) fn track(&mut self, now: Timestamp, id: &ServerId) {
        self.get_mut(now, id);
    }

    /// A server to be changed. It is tracked from now on.
    pub(crate) fn get_mut(&mut self, now: Timestamp, id: &ServerId) -> Option<ServerGuard<'_>> {
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

    /// One attempt fewer is in flight at a server.
    pub(crate) fn attempt_finished(&mut self, id: &ServerId) {
        self.visit();
        if let Some(server) = self.tracked.get_mut(id) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// The tracked ones, in the order of their ids.
    pub(crate) fn iter_tracked(&self) -> impl Iterator<Item = &Server> {
        self.tracked.values().inspect(|_| self.visit())
    }

    /// The same, to change their slow-start credit; nothing that is indexed may be changed.
    pub(crate) fn iter_tracked_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        let visited = &self.visited;
        self.tracked
            .values_mut()
            .inspect(|_| visited.set(visited.get() + 1))
    }

    /// The tracked ones that are ready.
    pub(crate) fn iter_ready(&self) -> impl Iterator<Item = &Server> {
        self.iter_tracked().filter(|server| server.is_ready())
    }

    /// A gateway's place on the ring of ready servers.
    pub(crate) fn ring_position(&self, gateway: GatewayId) -> usize {
        self.ring.position_of(gateway)
    }

    /// The ready ones in ring order from a position on, wrapping round.
    pub(crate) fn ring_from(&self, position: usize) -> impl Iterator<Item = ServerId> + '_ {
        self.ring.iter_from(position)
    }

    /// The first `count` of some servers, which are in the order of their ids, on the ring from a position
    /// on.
    pub(crate) fn first_on_ring<'s>(
        &self,
        position: usize,
        among: &[&'s Server],
        count: usize,
    ) -> Vec<&'s Server> {
        let place = |id| {
            among
                .binary_search_by_key(&id, |server| server.endpoint.server)
                .ok()
        };
        let places = self.ring_from(position).filter_map(place);
        places.map(|place| among[place]).take(count).collect()
    }

    /// The ready ones of a cell.
    pub(crate) fn in_cell(&self, cell: CellId) -> impl Iterator<Item = ServerId> + '_ {
        let members = self
            .cells
            .range((cell, ServerId(0))..=(cell, ServerId(u64::MAX)));
        members.map(|(_, server)| *server)
    }

    /// The ejected ones whose probe with a class is due, the longest due first.
    pub(crate) fn probes_due(
        &self,
        class: ClassId,
        now: Timestamp,
    ) -> impl Iterator<Item = ServerId> + '_ {
        self.index.probes_due(class, now)
    }

    /// Observations of the ready ones made after some time, the newest first.
    pub(crate) fn observed_after(
        &self,
        start: Timestamp,
    ) -> impl Iterator<Item = (ServerId, ClassId)> + '_ {
        self.index.observed_after(start)
    }

    /// How many are ready.
    pub(crate) fn ready_count(&self) -> usize {
        self.ring.len()
    }

    /// How many of the ready ones are ejected for a class.
    pub(crate) fn ejected_count(&self, class: ClassId) -> usize {
        self.index.ejected_count(class)
    }

    /// How many of the ready ones are not ejected for a class.
    pub(crate) fn healthy_count(&self, class: ClassId) -> usize {
        self.ready_count().saturating_sub(self.ejected_count(class))
    }

    /// Sum of the ready ones' failure rates with a class; of all, if these are walked, added in the order of
    /// their ids.
    pub(crate) fn failure_rate_sum(&self, class: ClassId) -> f64 {
        if self.walks_all() {
            return self
                .iter_ready()
                .map(|server| server.health[class.0].failure_rate)
                .sum();
        }
        self.index.failure_rate_sum(class)
    }

    /// Mean of the ready ones' failure rates with a class.
    pub(crate) fn mean_failure_rate(&self, class: ClassId) -> f64 {
        self.failure_rate_sum(class) / self.ready_count().max(1) as f64
    }

    /// How many of the ready ones are warm by now.
    pub(crate) fn warm_count(&mut self, now: Timestamp) -> usize {
        let period = self.warm_up_period;
        while self
            .warming_up
            .first()
            .is_some_and(|(started_at, _)| *started_at + period <= now)
        {
            self.warming_up.pop_first();
        }
        self.ring.len() - self.warming_up.len()
    }

    /// What the ready ones have shown, in ascending order.
    pub(crate) fn sorted(&self, value: impl Fn(&Server) -> Option<f64>) -> Vec<f64> {
        let mut values: Vec<f64> = self.iter_ready().filter_map(value).collect();
        values.sort_by(f64::total_cmp);
        values
    }

    /// Reports on ready servers from observations younger than `max_age`: the newest `max_reports` of them,
    /// in the order of the servers.
    pub(crate) fn recent_reports(
        &self,
        now: Timestamp,
        max_age: Duration,
        max_reports: usize,
    ) -> Vec<HealthReport> {
        let newest = self.observed_after(now - max_age).take(max_reports);
        let mut newest: Vec<_> = newest.collect();
        newest.sort_unstable();
        newest
            .into_iter()
            .filter_map(|(id, class)| self.report(now, id, class))
            .collect()
    }

    fn report(&self, now: Timestamp, id: ServerId, class: ClassId) -> Option<HealthReport> {
        let server = self.get(&id)?;
        let health = server.health.get(class.0)?;
        Some(HealthReport {
            server: short_id(id),
            class,
            failure_rate: health.failure_rate,
            wait: server.known_wait().unwrap_or(0.0),
            load: server.reported_load,
            age: now.duration_since(health.observed_at),
        })
    }

    /// Drops servers that are gone and have no attempt in flight. Where not all are walked, stops to track
    /// those that tell nothing any more: not used for `max_idle` µs, not ejected, with no attempt in flight.
    pub(crate) fn evict_idle(&mut self, now: Timestamp, max_idle: Duration) {
        let walks_all = self.walks_all();
        let mut gone = Vec::new();
        let mut idle = Vec::new();
        for server in self.iter_tracked().filter(|server| server.in_flight == 0) {
            let is_ejected = || server.health.iter().any(|health| health.is_ejected());
            if server.endpoint.state == EndpointState::Gone {
                gone.push(server.endpoint.server);
            } else if !walks_all
                && now.duration_since(server.last_used_at) >= max_idle
                && !is_ejected()
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

    fn remove_short_id(&mut self, id: ServerId) {
        let short = short_id(id);
        if self.by_short_id.get(&short) == Some(&id) {
            self.by_short_id.remove(&short);
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/server_table.rs"]
mod tests;
