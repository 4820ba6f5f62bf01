//! Indexes and sums over the ready servers, updated as their health changes.

use super::class_health::{IndexedHealth, FAILURE_RATE_SUM_STEPS};
use super::server::Server;
use crate::time::Timestamp;
use crate::types::{ClassId, ServerId};
use std::collections::BTreeSet;
use std::ops::{Deref, DerefMut};
use std::time::Duration;

/// Indexes over the health of the ready servers.
#[derive(Default)]
pub(crate) struct ServerIndex {
    /// By class: the ejected ones, by when the next probe may be sent.
    probes: Vec<BTreeSet<(Timestamp, ServerId)>>,
    /// By class: the sum of the failure rates, in steps.
    failure_rates: Vec<u64>,
    /// All observations, by when they were made.
    observations: BTreeSet<(Timestamp, ServerId, ClassId)>,
}

impl ServerIndex {
    /// The index of no servers.
    pub(crate) fn new(classes: usize) -> Self {
        ServerIndex {
            probes: vec![BTreeSet::new(); classes],
            failure_rates: vec![0; classes],
            observations: BTreeSet::new(),
        }
    }

    /// Updates the entries of a server after its health has changed; removes them unless
    /// `is_included`.
    pub(crate) fn update(&mut self, server: &mut Server, is_included: bool) {
        let id = server.endpoint.server;
        for (class, health) in server.health.iter_mut().enumerate() {
            let now = if is_included {
                IndexedHealth::from(&*health)
            } else {
                IndexedHealth::default()
            };
            let before = std::mem::replace(&mut health.indexed, now);
            self.update_probe(id, class, before, now);
            self.update_observation(id, class, before, now);
            let others = self.failure_rates[class] - before.failure_rate_steps;
            self.failure_rates[class] = others + now.failure_rate_steps;
        }
    }

    /// Moves the probe of a server.
    fn update_probe(
        &mut self,
        id: ServerId,
        class: usize,
        before: IndexedHealth,
        now: IndexedHealth,
    ) {
        if before.next_probe_at == now.next_probe_at {
            return;
        }
        if let Some(at) = before.next_probe_at {
            self.probes[class].remove(&(at, id));
        }
        if let Some(at) = now.next_probe_at {
            self.probes[class].insert((at, id));
        }
    }

    /// Moves the newest observation of a server.
    fn update_observation(
        &mut self,
        id: ServerId,
        class: usize,
        before: IndexedHealth,
        now: IndexedHealth,
    ) {
        if before.observed_at == now.observed_at {
            return;
        }
        self.observations
            .remove(&(before.observed_at, id, ClassId(class)));
        if now.observed_at > Timestamp::EPOCH {
            self.observations
                .insert((now.observed_at, id, ClassId(class)));
        }
    }

    /// Ejected servers whose probe with a class is due, the longest due first.
    pub(crate) fn probes_due(
        &self,
        class: ClassId,
        now: Timestamp,
    ) -> impl Iterator<Item = ServerId> + '_ {
        let due = self.probes[class.0].range(..=(now, ServerId(u64::MAX)));
        due.map(|(_, server)| *server)
    }

    /// How many are ejected for a class.
    pub(crate) fn ejected_count(&self, class: ClassId) -> usize {
        self.probes[class.0].len()
    }

    /// Sum of the failure rates with a class.
    pub(crate) fn failure_rate_sum(&self, class: ClassId) -> f64 {
        self.failure_rates[class.0] as f64 / FAILURE_RATE_SUM_STEPS
    }

    /// Observations made after some time, the newest first.
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

/// A server that is being changed; the index is updated when the guard is dropped.
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
