//! The control loop: collects latency samples between control ticks, and at each tick lets the
//! fuzzy controller adjust the in-flight limit.

use crate::policy::controller_inputs::ControllerInputs;
use crate::policy::fuzzy_controller::FuzzyController;
use crate::policy::in_flight_limit::InFlightLimit;
use crate::state::attempt::{Attempt, AttemptTable};
use crate::state::deployment::Deployment;
use crate::state::latency_samples::LatencySamples;
use crate::state::request_table::RequestTable;
use crate::state::servers::FleetEstimates;
use crate::time::Timestamp;
use crate::types::ClassId;
use crate::warning::Warning;

/// The fuzzy controller of a gateway and its inputs.
pub(super) struct ControlLoop {
    controller: FuzzyController,
    inputs: &'static dyn ControllerInputs,
    /// Latency ratios of attempts answered since the last control tick, by class.
    latencies: LatencySamples,
}

impl ControlLoop {
    /// Creates a control loop that does not limit attempts in flight yet.
    pub(super) fn new(class_count: usize, inputs: &'static dyn ControllerInputs) -> Self {
        ControlLoop {
            controller: FuzzyController::default(),
            inputs,
            latencies: LatencySamples::new(class_count),
        }
    }

    /// Returns the in-flight limit of the lowest class.
    pub(super) fn in_flight_limit(&mut self) -> &mut InFlightLimit {
        self.controller.limit()
    }

    /// Records the latency ratio of an attempt that was answered at `now`.
    pub(super) fn observe_success(
        &mut self,
        now: Timestamp,
        deployment: &Deployment,
        attempt: &Attempt,
    ) {
        let ratio = deployment.objective_ratio(attempt.class, attempt.eligible_since, now);
        self.latencies.class_samples_mut(attempt.class).add(ratio);
    }

    /// Runs a control tick: updates the latency ratios and the mean numbers of attempts in flight
    /// with the observations since the last tick, and adjusts the in-flight limit. Returns a
    /// warning if the limit starts at this tick and operators must be warned of it.
    pub(super) fn tick(
        &mut self,
        now: Timestamp,
        deployment: &Deployment,
        requests: &mut RequestTable,
        attempts: &AttemptTable,
        fleet: &mut FleetEstimates,
    ) -> Option<Warning> {
        let mut samples = self.latencies.take();
        self.add_open_requests(now, deployment, requests, &mut samples);
        self.update_latency_ratios(&samples, fleet);
        self.update_in_flight(deployment, attempts, fleet);
        self.adjust_in_flight_limit(deployment, fleet)
    }

    fn add_open_requests(
        &self,
        now: Timestamp,
        deployment: &Deployment,
        requests: &mut RequestTable,
        samples: &mut LatencySamples,
    ) {
        for request in requests.values_mut() {
            let class = request.class();
            let ratio = deployment.objective_ratio(class, request.eligible_since(), now);
            let samples = samples.class_samples_mut(class);
            if self
                .inputs
                .counts_open_request(request, ratio, samples.mean())
            {
                samples.add(ratio);
            }
        }
    }

    fn update_latency_ratios(&self, samples: &LatencySamples, fleet: &mut FleetEstimates) {
        let weight = self.inputs.latency_ratio_weight();
        for (class, samples) in samples.iter().enumerate() {
            let class = ClassId(class);
            if let Some(ratio) = samples.mean() {
                fleet.merge_latency_ratio(class, ratio, weight);
            } else if self.inputs.forgets_latency_ratios() {
                fleet.reset_latency_ratio(class);
            }
        }
    }

    fn update_in_flight(
        &self,
        deployment: &Deployment,
        attempts: &AttemptTable,
        fleet: &mut FleetEstimates,
    ) {
        let weight = self.inputs.in_flight_weight();
        let lowest = attempts.count_of(deployment.lowest_class);
        fleet.observe_in_flight(lowest, attempts.count(), weight);
    }

    fn adjust_in_flight_limit(
        &mut self,
        deployment: &Deployment,
        fleet: &FleetEstimates,
    ) -> Option<Warning> {
        let was_limiting = self.controller.is_limiting();
        let latency_ratio = fleet.worst_latency_ratio(deployment.lowest_class);
        let fleet_fraction = 1.0 / f64::from(deployment.settings.gateway_count);
        self.controller.tick(latency_ratio, fleet, fleet_fraction);
        let has_started = self.controller.is_limiting() && !was_limiting;
        if !has_started || !self.inputs.warns_of_missed_objectives() {
            return None;
        }
        Some(Warning::ObjectiveMissed {
            latency_ratio: latency_ratio?,
            in_flight: fleet.lowest_class_in_flight(),
        })
    }
}
