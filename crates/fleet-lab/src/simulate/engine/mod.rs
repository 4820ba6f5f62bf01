//! Simulation engine: one queue of events in simulated time, which connects the world with the
//! hollow nodes.

mod attempts;
mod decision_module;
mod faults;
mod gateways;
mod queue;
mod requests;
mod setup;
mod state;

pub use decision_module::{DecisionModule, ModuleResult};

use super::experiment::Experiment;
use super::report::Report;
use crate::world::clients::Clients;
use crate::world::datagrams::Datagrams;
use crate::world::discovery::Discovery;
use crate::world::invariant_checker::InvariantChecker;
use crate::world::server_events::ServerEvent;
use crate::world::servers::Server;
use crate::world::{RequestNumber, Rng, START};
use crate::Failure;
use decision_module::ModuleFactory;
use gateway_core::{Action, GatewayId, ServerId, Settings, Timestamp};
use queue::{AttemptKey, EventQueue, GatewayRun, SimulationEvent};
use state::{OpenRequest, SimulatedGateway};
use std::collections::BTreeMap;
use std::time::Duration;

/// Simulated time between two calls of the progress callback.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// What a completed simulation yields: the reproducible results, and a time on the host's clock.
pub struct SimulationResult {
    /// Results that depend only on the experiment and its seed.
    pub report: Report,
    /// Time inside [`DecisionModule::handle`], measured on the host's clock.
    pub decision_time: Duration,
}

/// The state of a simulation.
struct Engine<'a> {
    experiment: &'a Experiment,
    now: Timestamp,
    queue: EventQueue,
    /// Gateways, indexed by their number.
    gateways: Vec<SimulatedGateway>,
    servers: Vec<Server>,
    server_indices: BTreeMap<ServerId, usize>,
    clients: Clients,
    discovery: Discovery,
    datagrams: Datagrams,
    checker: InvariantChecker,
    open_requests: BTreeMap<RequestNumber, OpenRequest>,
    rng: Rng,
    /// Reused buffer for the actions of one event.
    action_buffer: Vec<Action>,
    /// Reused buffer for the events of one call of a server.
    server_event_buffer: Vec<ServerEvent>,
    decision_time: Duration,
    new_module: &'a mut ModuleFactory<'a>,
    log: &'a mut dyn FnMut(&str),
}

/// Simulates an experiment until its last request has ended. `new_module` creates the decision
/// module of a gateway, `progress` is called with the simulated time about once per simulated
/// second, and `log` receives the log lines of the gateways.
///
/// # Errors
/// [`Failure::InvalidArguments`] if a gateway rejects its settings.
pub fn simulate(
    experiment: &Experiment,
    mut new_module: impl FnMut(u64, Settings, Timestamp) -> ModuleResult,
    progress: &mut dyn FnMut(Timestamp),
    log: &mut dyn FnMut(&str),
) -> Result<SimulationResult, Failure> {
    let mut engine = Engine::new(experiment, &mut new_module, log)?;
    engine.schedule_initial_events()?;
    engine.run(progress)?;
    let Engine {
        now,
        servers,
        datagrams,
        checker,
        decision_time,
        ..
    } = engine;
    let report = Report::new(experiment, now, &servers, &datagrams.traffic, checker);
    Ok(SimulationResult {
        report,
        decision_time,
    })
}

impl Engine<'_> {
    /// Handles events until the clients have stopped and the last request has ended.
    fn run(&mut self, progress: &mut dyn FnMut(Timestamp)) -> Result<(), Failure> {
        let mut next_progress = START;
        let end = START + self.experiment.duration;
        while let Some(next) = self.queue.pop() {
            if next.at >= end && self.open_requests.is_empty() {
                break;
            }
            self.now = next.at;
            if next.at >= next_progress {
                progress(next.at);
                next_progress = next.at + PROGRESS_INTERVAL;
            }
            self.handle(next.event)?;
        }
        Ok(())
    }

    fn gateway_ids(&self) -> impl Iterator<Item = GatewayId> {
        (0..self.experiment.gateway_count()).map(GatewayId)
    }

    fn gateway(&self, id: GatewayId) -> &SimulatedGateway {
        &self.gateways[id.0 as usize]
    }

    /// Returns whether a gateway has been neither killed nor restarted since the start of `run`.
    fn is_current_run(&self, run: GatewayRun) -> bool {
        self.gateway(run.gateway).incarnation == run.incarnation
    }

    fn current_run(&self, gateway: GatewayId) -> GatewayRun {
        GatewayRun {
            gateway,
            incarnation: self.gateway(gateway).incarnation,
        }
    }

    fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        self.queue.push(at, event);
    }

    fn handle(&mut self, event: SimulationEvent) -> Result<(), Failure> {
        match event {
            SimulationEvent::Arrival { customer } => self.on_arrival(customer),
            SimulationEvent::Retry(request) => self.submit(*request),
            SimulationEvent::TimerFired { run, token } => self.on_timer(run, token),
            SimulationEvent::Datagram { from, to, bytes } => self.on_datagram(from, to, bytes),
            SimulationEvent::ConnectionEstablished { server, job } => {
                self.write_if_in_flight(server, job);
            }
            SimulationEvent::AttemptArrives { server, job } => {
                self.with_server(server, |server, now, events| {
                    server.arrive(now, job, events);
                });
            }
            SimulationEvent::ExecutionDue { server, execution } => {
                self.with_server(server, |server, now, events| {
                    server.complete(now, execution, events);
                });
            }
            SimulationEvent::AttemptCancelled {
                server,
                attempt: AttemptKey { request, number },
            } => {
                self.servers[server].cancel(request, number);
            }
            SimulationEvent::AttemptFinished { attempt, result } => {
                self.finish_attempt(attempt, result);
            }
            SimulationEvent::ClientDisconnects(request) => self.on_client_disconnect(request),
            SimulationEvent::AnswerOverdue(request) => self.on_answer_overdue(request),
            SimulationEvent::Poll { gateway, kind } => self.poll_discovery(gateway, kind),
            SimulationEvent::DiscoveryCallFails(run) => self.on_discovery_failure(run),
            SimulationEvent::Fault(action) => self.inject(action)?,
        }
        Ok(())
    }
}
