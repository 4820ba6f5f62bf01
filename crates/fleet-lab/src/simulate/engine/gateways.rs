//! Gateways: their starts, the events that they handle, their actions and messages, and their
//! endpoint lists.

use super::queue::{AttemptKey, AttemptResult, GatewayRun, SimulationEvent};
use super::Engine;
use crate::world::client_request::ClientError;
use crate::world::discovery::{PollKind, PollResult};
use crate::world::final_answer::FinalAnswer;
use crate::world::{seconds_since_start, RequestNumber};
use crate::Failure;
use gateway_core::{
    Action, AttemptNumber, AttemptOutcome, Endpoint, Event, GatewayId, RequestId, Settings,
};
use rand::Rng as _;
use std::time::Duration;
use std::time::Instant;

/// Time after which discovery answers a gateway's call.
const DISCOVERY_CALL_TIME: Duration = Duration::from_millis(5);
/// Time after which a call to discovery fails during an outage.
const DISCOVERY_CALL_TIMEOUT: Duration = Duration::from_millis(250);

impl Engine<'_> {
    /// Starts a gateway with the endpoint list that it last received.
    pub(super) fn start_gateway(&mut self, id: GatewayId) -> Result<(), Failure> {
        let zone = self.gateway(id).zone;
        let settings = Settings {
            gateway_id: id,
            zone,
            ..self.experiment.resolved.settings.clone()
        };
        let seed = self.rng.random();
        let module = (self.new_module)(seed, settings, self.now);
        let module =
            module.map_err(|error| Failure::InvalidArguments(format!("settings: {error}")))?;
        let gateway = &mut self.gateways[id.0 as usize];
        gateway.module = Some(module);
        gateway.incarnation += 1;
        self.deliver_event(id, self.discovery.last_snapshot(id));
        self.schedule_poll(id);
        Ok(())
    }

    /// Delivers an event to a gateway that is up, and carries out the resulting actions. No action
    /// causes another event immediately, so this method is not called recursively.
    pub(super) fn deliver_event(&mut self, id: GatewayId, event: Event) {
        let mut actions = std::mem::take(&mut self.action_buffer);
        if let Some(module) = &mut self.gateways[id.0 as usize].module {
            let started = Instant::now();
            module.handle(self.now, event, &mut actions);
            self.decision_time += started.elapsed();
        }
        for action in actions.drain(..) {
            self.execute_action(id, action);
        }
        self.action_buffer = actions;
    }

    fn execute_action(&mut self, gateway: GatewayId, action: Action) {
        let now = self.now;
        match action {
            Action::SendAttempt {
                id,
                server,
                timeout,
                write_deadline,
            } => self.send_attempt(gateway, &id, server, timeout, write_deadline),
            Action::Reject { id, retry_after } => self.reject(&id, retry_after),
            Action::Fail { id } => self.answer(&id, FinalAnswer::Failed, ClientError::Failed),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(gateway, &id, attempt),
            Action::Broadcast { bytes } => self.broadcast(gateway, &bytes),
            Action::SendToPeer { to, bytes } => self.send_message(gateway, to, bytes),
            Action::SetTimer { after, token } => {
                let run = self.current_run(gateway);
                self.schedule(now + after, SimulationEvent::TimerFired { run, token });
            }
            Action::WatchEndpoints => {
                let kind = PollKind::Requested;
                self.schedule(
                    now + DISCOVERY_CALL_TIME,
                    SimulationEvent::Poll { gateway, kind },
                );
            }
            Action::Warn(warning) => {
                let seconds = seconds_since_start(now);
                (self.log)(&format!("{seconds:.3} s gateway {}: {warning}", gateway.0));
            }
        }
    }

    fn reject(&mut self, id: &RequestId, retry_after: Option<Duration>) {
        let max_retry_after = self
            .experiment
            .resolved
            .settings
            .permissions
            .max_retry_after;
        let retry_after = retry_after
            .zip(max_retry_after)
            .map(|(advice, max)| advice.min(max));
        self.answer(
            id,
            FinalAnswer::Rejected,
            ClientError::Rejected { retry_after },
        );
    }

    fn cancel_attempt(&mut self, gateway: GatewayId, id: &RequestId, number: AttemptNumber) {
        let Some(request) = RequestNumber::parse(id) else {
            return;
        };
        let Some(open) = self.open_requests.get(&request) else {
            return;
        };
        let Some(attempt) = open.attempts.get(number.0 as usize) else {
            return;
        };
        if !attempt.is_in_flight {
            return;
        }
        let server = attempt.server;
        let attempt = AttemptKey { request, number };
        let delay = self.draw_server_delay(gateway, server);
        self.schedule(
            self.now + delay,
            SimulationEvent::AttemptCancelled { server, attempt },
        );
        let result = AttemptResult::without_report(AttemptOutcome::Cancelled);
        self.schedule(
            self.now,
            SimulationEvent::AttemptFinished { attempt, result },
        );
    }

    fn broadcast(&mut self, from: GatewayId, bytes: &[u8]) {
        for to in self.gateway_ids().filter(|to| *to != from) {
            self.send_message(from, to, bytes.to_vec());
        }
    }

    fn send_message(&mut self, from: GatewayId, to: GatewayId, bytes: Vec<u8>) {
        let Some(receiver) = self.gateways.get(to.0 as usize) else {
            return;
        };
        let sender_zone = self.gateway(from).zone;
        let partitions = &self.experiment.faults.partitions;
        let is_partitioned = partitions.is_partitioned(self.now, sender_zone, receiver.zone);
        if let Some(at) = self.datagrams.send(self.now, is_partitioned) {
            self.schedule(at, SimulationEvent::Datagram { from, to, bytes });
        }
    }

    /// Delivers a message that arrives at a gateway, unless the gateway is down or drops it.
    pub(super) fn on_datagram(&mut self, from: GatewayId, to: GatewayId, bytes: Vec<u8>) {
        if self.gateway(to).is_up() && self.datagrams.accept(self.now, to, bytes.len()) {
            self.deliver_event(to, Event::PeerMessage { from, bytes });
        }
    }

    /// Delivers a timer event, unless the gateway was killed after it set the timer.
    pub(super) fn on_timer(&mut self, run: GatewayRun, token: u64) {
        if self.is_current_run(run) {
            self.deliver_event(run.gateway, Event::TimerFired { token });
        }
    }

    /// Reports the failure of a call to discovery, unless the gateway was killed after the call.
    pub(super) fn on_discovery_failure(&mut self, run: GatewayRun) {
        if self.is_current_run(run) {
            self.deliver_event(run.gateway, Event::WatchFailed);
        }
    }

    /// Brings a gateway's endpoint list up to date, if discovery can be reached.
    pub(super) fn poll_discovery(&mut self, id: GatewayId, kind: PollKind) {
        let gateway = self.gateway(id);
        if !gateway.is_up() {
            return;
        }
        let isolated_until = self
            .experiment
            .faults
            .partitions
            .isolated_until(self.now, gateway.zone);
        match self.discovery.poll(self.now, id, isolated_until, kind) {
            PollResult::Update(event) => self.deliver_event(id, event),
            PollResult::CallFailed => {
                let run = self.current_run(id);
                self.schedule(
                    self.now + DISCOVERY_CALL_TIMEOUT,
                    SimulationEvent::DiscoveryCallFails(run),
                );
            }
            PollResult::RetryAt(at) => {
                let kind = PollKind::Scheduled;
                self.schedule(at, SimulationEvent::Poll { gateway: id, kind });
            }
            PollResult::NoChange => {}
        }
    }

    /// Schedules a poll of discovery by a gateway after a random delay.
    fn schedule_poll(&mut self, gateway: GatewayId) {
        let delay = self.discovery.draw_delay();
        self.schedule(
            self.now + delay,
            SimulationEvent::Poll {
                gateway,
                kind: PollKind::Scheduled,
            },
        );
    }

    /// Publishes the new state of an endpoint, which each gateway receives after a delay of its
    /// own.
    pub(super) fn publish(&mut self, endpoint: Endpoint) {
        self.discovery.publish(endpoint);
        for gateway in self.gateway_ids() {
            self.schedule_poll(gateway);
        }
    }
}
