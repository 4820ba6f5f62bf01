//! The control tick: the fuzzy controller moves the in-flight limit, and the estimates of the fleet are
//! renewed.

use super::Gateway;
use crate::policy::fuzzy_controller::TICK_PERIOD;
use crate::policy::quota::PARTITIONED;
use crate::state::latency_samples::LatencySamples;
use crate::state::quota_state::silent_gateways;
use crate::time::{DurationExt, Timestamp};
use crate::types::ClassId;
use crate::warning::Warning;
use crate::Action;

impl Gateway {
    pub(super) fn on_control_tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if now < self.timers.next_control_tick {
            return;
        }
        self.timers.next_control_tick = now + TICK_PERIOD;
        let mut samples = self.latencies.take();
        self.add_open_requests(now, &mut samples);
        self.update_latency_ratios(&samples);
        self.update_in_flight();
        self.move_in_flight_limit(actions);
        self.servers.update_estimates(now, &self.deployment);
        self.servers
            .grant_slow_start_credit(now, &self.deployment, &mut self.random);
        self.evict_idle(now);
    }

    fn add_open_requests(&mut self, now: Timestamp, samples: &mut LatencySamples) {
        for request in self.requests.values_mut() {
            let objective = self
                .deployment
                .class_of(request)
                .latency_objective
                .as_micros_f64()
                .max(1.0);
            let ratio = now.micros_since(request.eligible_since()) / objective;
            let samples = samples.of(request.class());
            let inputs = self.controller_inputs;
            if inputs.counts_open_request(request, ratio, samples.mean()) {
                samples.add(ratio);
            }
        }
    }

    fn update_latency_ratios(&mut self, samples: &LatencySamples) {
        let weight = self.controller_inputs.latency_ratio_weight();
        for (class, samples) in samples.iter().enumerate() {
            if let Some(ratio) = samples.mean() {
                self.servers
                    .estimates_mut()
                    .merge_latency_ratio(ClassId(class), ratio, weight);
            } else if self.controller_inputs.forgets_latency_ratios() {
                self.servers
                    .estimates_mut()
                    .reset_latency_ratio(ClassId(class));
            }
        }
    }

    fn update_in_flight(&mut self) {
        let weight = self.controller_inputs.in_flight_weight();
        let lowest = self.attempts.count_of(self.deployment.lowest_class);
        let total = self.attempts.count();
        self.servers
            .estimates_mut()
            .observe_in_flight(lowest, total, weight);
    }

    fn move_in_flight_limit(&mut self, actions: &mut Vec<Action>) {
        let was_limiting = self.controller.is_limiting();
        let fleet = self.servers.estimates();
        let in_flight = fleet.lowest_in_flight();
        let ratio = fleet.worst_latency_ratio(self.deployment.lowest_class);
        let share = 1.0 / f64::from(self.deployment.settings.gateway_count);
        self.controller.tick(ratio, fleet, share);
        let has_started = self.controller.is_limiting() && !was_limiting;
        let warns = has_started && self.controller_inputs.warns_of_missed_objectives();
        if let Some(latency_ratio) = ratio.filter(|_| warns) {
            actions.push(Action::Warn(Warning::ObjectiveMissed {
                latency_ratio,
                in_flight,
            }));
        }
    }

    /// Drops what tells nothing any more: memory would grow with every customer and server ever seen.
    fn evict_idle(&mut self, now: Timestamp) {
        let plans = &self.deployment.settings.plans;
        let last_heard = &self.quotas.last_heard;
        let silent = |gateways| silent_gateways(last_heard, gateways, now, PARTITIONED);
        self.quotas
            .local
            .retain(|_, bucket| !bucket.is_idle(now, &plans[bucket.plan.0], silent));
        self.quotas
            .owned
            .retain(|_, bucket| !bucket.is_idle(now, &plans[bucket.plan.0], |_| 0.0));
        self.servers.evict_idle(now);
    }
}
