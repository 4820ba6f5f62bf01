//! Indexes and sums over the health of the ready servers, updated on each change.

use super::class_health::{IndexedHealth, FAILURE_RATE_SCALE};
use super::server::Server;
use crate::time::Timestamp;
use crate::types::{ClassId, ServerId};
use std::collections::BTreeSet;
use std::ops::{Deref, DerefMut};
use std::time::Duration;

/// Indexes over the health of the ready servers.
#[derive(Default)]
pub(crate) struct ServerIndex {
    /// The ejected servers of each class, ordered by the time of the next probe.
    probes: Vec<BTreeSet<(Timestamp, ServerId)>>,
    /// The sum of the failure rates with each class, as a fixed-point value.
    failure_rate_sums: Vec<u64>,
    /// The newest observation of each server with each class, ordered by time.
    observations: BTreeSet<(Timestamp, ServerId, ClassId)>,
}

impl ServerIndex {
    /// Creates an empty index.
    pub(crate) fn new(classes: usize) -> Self {
        ServerIndex {
            probes: vec![BTreeSet::new(); classes],
            failure_rate_sums: vec![0; classes],
            observations: BTreeSet::new(),
        }
    }

    /// Updates the entries of a server after a change of its health, or removes them unless
    /// `is_included` is set.
    pub(crate) fn update(&mut self, server: &mut Server, is_included: bool) {
        let id = server.endpoint.server;
        for (class, health) in server.health.iter_mut().enumerate() {
            let current = if is_included {
                IndexedHealth::from(&*health)
            } else {
                IndexedHealth::default()
            };
            let previous = std::mem::replace(&mut health.indexed, current);
            self.update_probe(id, class, previous, current);
            self.update_observation(id, class, previous, current);
            let others = self.failure_rate_sums[class] - previous.scaled_failure_rate;
            self.failure_rate_sums[class] = others + current.scaled_failure_rate;
        }
    }

    /// Updates the entry for the next probe of a server with a class.
    fn update_probe(
        &mut self,
        id: ServerId,
        class: usize,
        previous: IndexedHealth,
        current: IndexedHealth,
    ) {
        if previous.next_probe_at == current.next_probe_at {
            return;
        }
        if let Some(probe_at) = previous.next_probe_at {
            self.probes[class].remove(&(probe_at, id));
        }
        if let Some(probe_at) = current.next_probe_at {
            self.probes[class].insert((probe_at, id));
        }
    }

    /// Updates the entry for the newest observation of a server with a class.
    fn update_observation(
        &mut self,
        id: ServerId,
        class: usize,
        previous: IndexedHealth,
        current: IndexedHealth,
    ) {
        if previous.observed_at == current.observed_at {
            return;
        }
        self.observations
            .remove(&(previous.observed_at, id, ClassId(class)));
        if current.observed_at > Timestamp::EPOCH {
            self.observations
                .insert((current.observed_at, id, ClassId(class)));
        }
    }

    /// Iterates over the ejected servers whose next probe with a class is due, longest due first.
    pub(crate) fn probes_due(
        &self,
        class: ClassId,
        now: Timestamp,
    ) -> impl Iterator<Item = ServerId> + '_ {
        let due = self.probes[class.0].range(..=(now, ServerId(u64::MAX)));
        due.map(|(_, server)| *server)
    }

    /// Returns the number of servers that are ejected for a class.
    pub(crate) fn ejected_count(&self, class: ClassId) -> usize {
        self.probes[class.0].len()
    }

    /// Returns the sum of the servers' failure rates with a class.
    pub(crate) fn failure_rate_sum(&self, class: ClassId) -> f64 {
        self.failure_rate_sums[class.0] as f64 / FAILURE_RATE_SCALE
    }

    /// Iterates over the observations made after `start`, newest first.
    pub(crate) fn observed_after(
        &self,
        start: Timestamp,
    ) -> impl Iterator<Item = (ServerId, ClassId)> + '_ {
        let after = (start + Duration::from_micros(1), ServerId(0), ClassId(0));
        self.observations
            .range(after..)
            .rev()
            .map(|(_, server, class)| (*server, *class))
    }
}

/// Write access to a server. The index is updated when the guard is dropped.
pub(crate) struct ServerGuard<'a> {
    pub(super) server: &'a mut Server,
    pub(super) index: &'a mut ServerIndex,
}

impl Deref for ServerGuard<'_> {
    type Target = Server;

    fn deref(&self) -> &Server {
        self.server
    }
}

impl DerefMut for ServerGuard<'_> {
    fn deref_mut(&mut self) -> &mut Server {
        self.server
    }
}

impl Drop for ServerGuard<'_> {
    fn drop(&mut self) {
        let ready = self.server.is_ready();
        self.index.update(self.server, ready);
    }
}
