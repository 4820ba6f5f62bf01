//! Attempts: transmission from a gateway to a server, over a connection that may be established
//! late, and transmission of the result back.

use super::queue::{AttemptKey, AttemptResult, SimulationEvent};
use super::Engine;
use crate::time::draw_duration;
use crate::world::final_answer::FinalAnswer;
use crate::world::invariant_checker::SentAttempt;
use crate::world::server_events::{Job, ServerEvent};
use crate::world::servers::Server;
use crate::world::RequestNumber;
use gateway_core::{
    AttemptOutcome, Endpoint, EndpointState, Event, GatewayId, RequestId, ServerId, Timestamp,
};
use rand::Rng as _;
use std::ops::Range;
use std::time::Duration;

/// One-way delay between a gateway and a server in the same zone.
const SAME_ZONE_DELAY: Range<Duration> = Duration::from_micros(200)..Duration::from_micros(500);
/// One-way delay between a gateway and a server in another zone.
const CROSS_ZONE_DELAY: Range<Duration> =
    Duration::from_micros(1_400)..Duration::from_micros(2_600);
/// Time until a late connection is established, if the connect timeout does not end it before.
const LATE_CONNECTION_DELAY: Range<Duration> =
    Duration::from_millis(20)..Duration::from_millis(1_500);

impl Engine<'_> {
    fn is_same_zone(&self, gateway: GatewayId, server: usize) -> bool {
        self.gateway(gateway).zone == self.servers[server].endpoint.zone
    }

    /// Draws the one-way delay between a gateway and a server.
    pub(super) fn draw_server_delay(&mut self, gateway: GatewayId, server: usize) -> Duration {
        let is_same_zone = self.is_same_zone(gateway, server);
        let range = if is_same_zone {
            SAME_ZONE_DELAY
        } else {
            CROSS_ZONE_DELAY
        };
        draw_duration(&mut self.rng, &range)
    }

    fn is_partitioned(&self, gateway: GatewayId, server: usize) -> bool {
        let server_zone = self.servers[server].endpoint.zone;
        self.experiment.faults.partitions.is_partitioned(
            self.now,
            self.gateway(gateway).zone,
            server_zone,
        )
    }

    /// Sends an attempt of an open request to a server. An attempt to a server that the gateway
    /// does not know, or that the invariant checker does not permit, is dropped.
    pub(super) fn send_attempt(
        &mut self,
        gateway: GatewayId,
        id: &RequestId,
        to: ServerId,
        timeout: Option<Duration>,
        write_deadline: Option<Timestamp>,
    ) {
        let request = RequestNumber::parse(id).unwrap_or(RequestNumber::UNKNOWN);
        let Some(server) = self.known_server_index(gateway, to) else {
            return;
        };
        if !self.check_sent_attempt(gateway, request, server) {
            return;
        }
        let Some(open) = self.open_requests.get_mut(&request) else {
            return;
        };
        let expires_at = open.attempt_deadline(self.now, timeout);
        let job = Job {
            request,
            attempt: open.add_attempt(server),
            gateway,
            expires_at,
            work: draw_duration(&mut self.rng, &self.experiment.machine.work),
            is_start_known: self.discovery.knows_latest_start(gateway, to),
        };
        self.schedule_result(expires_at, AttemptKey::of(&job), AttemptOutcome::TimedOut);
        self.connect(server, job, write_deadline);
    }

    /// Writes an attempt once its connection is established. If that takes longer than the connect
    /// timeout or than until the write deadline, the attempt ends unsent at the earlier of the two.
    fn connect(&mut self, server: usize, job: Job, write_deadline: Option<Timestamp>) {
        let timed_out_at = self.now + self.experiment.resolved.connect_timeout;
        let (given_up_at, outcome) = match write_deadline {
            Some(deadline) if deadline < timed_out_at => (deadline, AttemptOutcome::NotSent),
            Some(_) | None => (timed_out_at, AttemptOutcome::Unreachable),
        };
        let delay = self.draw_connection_delay(job.gateway, server);
        match delay.map(|delay| self.now + delay) {
            Some(established_at) if established_at == self.now => self.write(server, job),
            Some(established_at) if established_at <= given_up_at => self.schedule(
                established_at,
                SimulationEvent::ConnectionEstablished { server, job },
            ),
            Some(_) | None => self.schedule_result(given_up_at, AttemptKey::of(&job), outcome),
        }
    }

    /// Draws the time until a connection to a server is established, zero unless connections are
    /// late; `None` if a partition separates the gateway from the server.
    fn draw_connection_delay(&mut self, gateway: GatewayId, server: usize) -> Option<Duration> {
        if self.is_partitioned(gateway, server) {
            return None;
        }
        let now = self.now;
        let late = self.experiment.faults.late_connections;
        let late = late.filter(|late| late.span.contains(now));
        if late.is_some_and(|late| self.rng.random_bool(late.value)) {
            Some(draw_duration(&mut self.rng, &LATE_CONNECTION_DELAY))
        } else {
            Some(Duration::ZERO)
        }
    }

    /// Writes an attempt whose late connection is established, unless the attempt has ended.
    pub(super) fn write_if_in_flight(&mut self, server: usize, job: Job) {
        let open = self.open_requests.get(&job.request);
        if open.is_some_and(|open| open.is_in_flight(job.attempt)) {
            self.write(server, job);
        }
    }

    /// Writes an attempt to its connection: the invariant checker checks it, and it arrives at its
    /// server.
    fn write(&mut self, server: usize, job: Job) {
        self.checker
            .attempt_written(self.now, job.request, job.attempt);
        let delay = self.draw_server_delay(job.gateway, server);
        self.schedule(
            self.now + delay,
            SimulationEvent::AttemptArrives { server, job },
        );
    }

    /// Returns the index of the server to which a gateway sends an attempt. If the gateway has
    /// never received the server from discovery, records a violation and returns `None`.
    fn known_server_index(&mut self, gateway: GatewayId, id: ServerId) -> Option<usize> {
        let index = self.server_indices.get(&id).copied();
        if index.is_some() && self.discovery.knows_server(gateway, id) {
            return index;
        }
        self.checker.sent_to_unlisted_server(self.now, gateway, id);
        None
    }

    /// Passes an attempt to the invariant checker, and counts the attempt if it crosses zones.
    /// Returns whether the invariant checker permits the attempt.
    fn check_sent_attempt(
        &mut self,
        gateway: GatewayId,
        request: RequestNumber,
        server: usize,
    ) -> bool {
        let endpoint = self.servers[server].endpoint;
        let draining_since = self.discovery.draining_since(gateway, endpoint.server);
        let sent = SentAttempt {
            gateway,
            request,
            server: endpoint,
            draining_since,
        };
        if !self.checker.attempt_sent(self.now, sent) {
            return false;
        }
        let is_cross_zone = !self.is_same_zone(gateway, server);
        self.checker.statistics.cross_zone_attempts += u64::from(is_cross_zone);
        true
    }

    fn schedule_result(&mut self, at: Timestamp, attempt: AttemptKey, outcome: AttemptOutcome) {
        let result = AttemptResult::without_report(outcome);
        self.schedule(at, SimulationEvent::AttemptFinished { attempt, result });
    }

    /// Runs `call` on a server at the current time, and handles the events that `call` appends.
    pub(super) fn with_server(
        &mut self,
        server: usize,
        call: impl FnOnce(&mut Server, Timestamp, &mut Vec<ServerEvent>),
    ) {
        let mut events = std::mem::take(&mut self.server_event_buffer);
        call(&mut self.servers[server], self.now, &mut events);
        for event in events.drain(..) {
            self.on_server_event(server, event);
        }
        self.server_event_buffer = events;
    }

    fn on_server_event(&mut self, server: usize, event: ServerEvent) {
        match event {
            ServerEvent::Started {
                execution,
                done_at,
                job,
            } => {
                self.checker.execution_started(self.now, job.request);
                self.schedule(done_at, SimulationEvent::ExecutionDue { server, execution });
            }
            ServerEvent::Delayed { execution, done_at } => {
                self.schedule(done_at, SimulationEvent::ExecutionDue { server, execution });
            }
            ServerEvent::Finished {
                job,
                outcome,
                reported_load,
            } => {
                let result = AttemptResult {
                    outcome,
                    reported_load,
                };
                self.transmit_result(server, &job, result);
            }
            ServerEvent::Crashed(load) => {
                let endpoint = self.servers[server].endpoint;
                self.checker.server_crashed(self.now, endpoint.server, load);
                self.publish(Endpoint {
                    state: EndpointState::Gone,
                    ..endpoint
                });
            }
        }
    }

    /// Schedules the arrival of an attempt's result at its gateway. If a partition separates the
    /// server from the gateway, the result is lost, and the attempt ends when it times out.
    fn transmit_result(&mut self, server: usize, job: &Job, result: AttemptResult) {
        if self.is_partitioned(job.gateway, server) {
            return;
        }
        let delay = self.draw_server_delay(job.gateway, server);
        let attempt = AttemptKey::of(job);
        let event = SimulationEvent::AttemptFinished { attempt, result };
        self.schedule(self.now + delay, event);
    }

    /// Ends an attempt, unless it has already ended. Delivers the outcome to the gateway that sent
    /// the attempt, unless the gateway was killed since.
    pub(super) fn finish_attempt(&mut self, attempt: AttemptKey, result: AttemptResult) {
        let AttemptKey { request, number } = attempt;
        let AttemptResult {
            outcome,
            reported_load,
        } = result;
        let open = self.open_requests.get_mut(&request);
        let Some(finished) = open.and_then(|open| open.finish_attempt(number, outcome)) else {
            return;
        };
        self.checker.attempt_finished(request, number, outcome);
        if finished.is_final_answer {
            self.checker
                .answered(self.now, request, FinalAnswer::Served);
        }
        self.remove_if_finished(request);
        if self.is_current_run(finished.run) {
            let event = Event::AttemptFinished {
                id: request.id(),
                attempt: number,
                outcome,
                closed: finished.is_answered,
                reported_load,
            };
            self.deliver_event(finished.run.gateway, event);
        }
    }
}
