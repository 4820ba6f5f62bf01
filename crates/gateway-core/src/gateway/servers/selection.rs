//! The selection of a server for an attempt.

use super::{FleetConcurrency, Servers};
use crate::policy::load_balancing::Selector;
use crate::state::deployment::{Context, Deployment};
use crate::state::request::Request;
use crate::state::servers::Candidate;
use crate::time::Timestamp;
use crate::types::{ClassId, ServerId};

impl Servers {
    /// Returns the ready servers with capacity, or a sample of them if the servers are too many to
    /// scan.
    ///
    /// Returns no servers while this gateway has as many attempts in flight (`in_flight`) as the
    /// fleet concurrency allows. The fleet concurrency is summed at each call if all servers are
    /// scanned, otherwise once per control tick; the next tick is at `next_control_tick`.
    pub(in crate::gateway) fn selectable(
        &mut self,
        now: Timestamp,
        deployment: &Deployment,
        in_flight: f64,
        next_control_tick: Timestamp,
        random: &mut fastrand::Rng,
    ) -> Vec<ServerId> {
        let context = Context::new(now, deployment, &self.estimates);
        let selector = Selector::new(context, &self.selection, &self.table);
        let cached = &mut self.fleet_concurrency;
        let fleet_concurrency = || {
            if self.table.scans_all() || now >= cached.valid_until {
                *cached = FleetConcurrency {
                    attempts: selector.fleet_concurrency(),
                    valid_until: next_control_tick,
                };
            }
            cached.attempts
        };
        if selector.is_fleet_full(in_flight, fleet_concurrency) {
            return Vec::new();
        }
        let Some(subset) = selector.sampled_subset() else {
            return selector.servers_with_capacity();
        };
        let sample = subset.sample(&selector, None, random);
        self.track_sample(now, sample)
    }

    /// Chooses a server for a request from the `selectable` servers. If not all servers are
    /// scanned, a request that must stay within its deduplication scope is given a sample of its
    /// own instead.
    pub(in crate::gateway) fn choose(
        &mut self,
        now: Timestamp,
        deployment: &Deployment,
        request: &Request,
        selectable: &[ServerId],
        random: &mut fastrand::Rng,
    ) -> Option<ServerId> {
        let own_sample = self.sample_in_scope(now, deployment, request, random);
        let candidates = own_sample.as_deref().unwrap_or(selectable);
        let context = self.context(now, deployment);
        Selector::new(context, &self.selection, &self.table).choose(request, candidates, random)
    }

    /// Returns a sample of the servers within a request's deduplication scope, or `None` if the
    /// request needs no sample of its own.
    fn sample_in_scope(
        &mut self,
        now: Timestamp,
        deployment: &Deployment,
        request: &Request,
        random: &mut fastrand::Rng,
    ) -> Option<Vec<ServerId>> {
        let context = self.context(now, deployment);
        let selector = Selector::new(context, &self.selection, &self.table);
        let subset = selector.sampled_subset()?;
        if !selector.is_bound_to_scope(request) {
            return None;
        }
        let sample = subset.sample(&selector, Some(request), random);
        Some(self.track_sample(now, sample))
    }

    /// Starts tracking the servers of a sample, and returns their ids.
    fn track_sample(&mut self, now: Timestamp, sample: Vec<Candidate>) -> Vec<ServerId> {
        for candidate in sample.iter().filter(|candidate| !candidate.is_tracked) {
            self.table.track(now, &candidate.server);
        }
        sample
            .into_iter()
            .map(|candidate| candidate.server)
            .collect()
    }

    /// Records that an attempt was sent to a server. Returns the number of attempts in flight
    /// there, including this attempt, or `None` if the server is not tracked.
    pub(in crate::gateway) fn record_attempt_sent(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        class: ClassId,
        next_probe_at: Timestamp,
    ) -> Option<f64> {
        let mut server = self.table.get_or_track(now, id)?;
        server.record_attempt_sent(class, next_probe_at);
        Some(f64::from(server.in_flight()))
    }
}
