//! Runs an experiment: one queue of events in simulated time, between the world and the hollow nodes.

mod attempts;
mod faults;
mod gateways;
mod queue;
mod requests;

use super::experiment::Experiment;
use super::report::Report;
use crate::world::clients::{ClientRequest, Clients, Demand};
use crate::world::customer_account::CustomerPlan;
use crate::world::datagrams::{Datagrams, NetworkConditions};
use crate::world::discovery::Discovery;
use crate::world::invariant_checker::InvariantChecker;
use crate::world::servers::{Server, ServerEvent};
use crate::world::{random_stream, RequestNumber, Rng, START};
use crate::Failure;
use gateway_core::{
    Action, Event, Gateway, GatewayId, ServerId, Settings, SettingsError, Timestamp, ZoneId,
};
use queue::{AttemptKey, EventQueue, GatewayRun, SimulationEvent};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Delay after which a gateway receives a change of the list.
const DISCOVERY_DELAY: Range<Duration> = Duration::from_millis(300)..Duration::from_secs(3);
/// Delay of a message between gateways.
const MESSAGE_DELAY: Range<Duration> = Duration::from_micros(1_500)..Duration::from_millis(10);
/// Share of messages between gateways that is lost at any time.
const MESSAGE_LOSS: f64 = 0.03;
/// Simulated time between two calls that show the progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Numbers of the random streams of the parts.
const ENGINE_STREAM: u64 = 0;
const CLIENT_STREAM: u64 = 1;
const DISCOVERY_STREAM: u64 = 2;
const DATAGRAM_STREAM: u64 = 3;

/// What makes the decisions of one gateway: the decision module, or a wrapper that a test puts around it.
pub trait DecisionModule {
    /// Handles one event at a simulated time, and adds the resulting actions.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);
}

impl DecisionModule for Gateway {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Gateway::handle(self, now, event, actions);
    }
}

/// The result of a simulation.
pub struct SimulationResult {
    /// What follows from the seed.
    pub report: Report,
    /// Time inside [`DecisionModule::handle`] on the host's clock.
    pub decision_time: Duration,
}

/// A new decision module, or why its settings are invalid.
pub type NewModule = Result<Box<dyn DecisionModule>, SettingsError>;

/// Makes the decision module of a gateway from a seed, its settings and the time of its start.
type ModuleFactory<'a> = dyn FnMut(u64, Settings, Timestamp) -> NewModule + 'a;

/// A gateway.
struct SimulatedGateway {
    /// `None` while it is down.
    module: Option<Box<dyn DecisionModule>>,
    /// Counts its starts and kills.
    incarnation: u32,
    zone: ZoneId,
    /// While it is down: from when on its clients are sent elsewhere.
    down_noticed_at: Timestamp,
}

impl SimulatedGateway {
    fn is_up(&self) -> bool {
        self.module.is_some()
    }
}

/// An attempt as its gateway sees it.
struct OpenAttempt {
    /// Index of the server.
    server: usize,
    is_in_flight: bool,
}

/// A request that has no final answer yet, or of which an attempt is in flight.
struct OpenRequest {
    run: GatewayRun,
    request: ClientRequest,
    deadline: Timestamp,
    is_answered: bool,
    /// By attempt number.
    attempts: Vec<OpenAttempt>,
}

impl OpenRequest {
    fn is_finished(&self) -> bool {
        self.is_answered && !self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }
}

/// The state of a simulation.
struct Engine<'a> {
    experiment: &'a Experiment,
    now: Timestamp,
    queue: EventQueue,
    /// By number.
    gateways: Vec<SimulatedGateway>,
    servers: Vec<Server>,
    server_indices: BTreeMap<ServerId, usize>,
    clients: Clients,
    discovery: Discovery,
    datagrams: Datagrams,
    checker: InvariantChecker,
    open_requests: BTreeMap<RequestNumber, OpenRequest>,
    rng: Rng,
    /// Reused for the actions of one event.
    action_buffer: Vec<Action>,
    /// Reused for what one call of a server causes.
    server_event_buffer: Vec<ServerEvent>,
    decision_time: Duration,
    new_module: &'a mut ModuleFactory<'a>,
    log: &'a mut dyn FnMut(&str),
}

/// Simulates an experiment to the end of its last request. `new_module` makes the decision module of a gateway,
/// `progress` is called with the simulated time about once a simulated second, and `log` with what gateways log.
///
/// # Errors
/// Settings that a gateway refuses.
pub fn simulate(
    experiment: &Experiment,
    mut new_module: impl FnMut(u64, Settings, Timestamp) -> NewModule,
    progress: &mut dyn FnMut(Timestamp),
    log: &mut dyn FnMut(&str),
) -> Result<SimulationResult, Failure> {
    let mut engine = Engine::new(experiment, &mut new_module, log)?;
    engine.schedule_initial_events()?;
    let mut next_progress = START;
    let end = START + experiment.duration;
    while let Some(next) = engine.queue.pop() {
        if next.at >= end && engine.open_requests.is_empty() {
            break;
        }
        engine.now = next.at;
        if next.at >= next_progress {
            progress(next.at);
            next_progress = next.at + PROGRESS_INTERVAL;
        }
        engine.handle(next.event)?;
    }
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

impl<'a> Engine<'a> {
    fn new(
        experiment: &'a Experiment,
        new_module: &'a mut ModuleFactory<'a>,
        log: &'a mut dyn FnMut(&str),
    ) -> Result<Engine<'a>, Failure> {
        let settings = &experiment.resolved.settings;
        let stream = |part| random_stream(experiment.seed, part);
        let clients = Clients::new(stream(CLIENT_STREAM), START, settings, &demand(experiment));
        let customers = clients.customers.iter();
        let plans = customers.map(|customer| CustomerPlan {
            customer: customer.id,
            plan: customer.plan,
        });
        let drain_grace = experiment.resolved.drain_grace;
        let checker = InvariantChecker::new(settings.clone(), drain_grace, plans)?;
        let mut rng = stream(ENGINE_STREAM);
        let servers = new_servers(experiment, &mut rng);
        let indices = servers
            .iter()
            .enumerate()
            .map(|(index, server)| (server.endpoint.server, index));
        let gateway_count = experiment.gateway_count() as usize;
        let conditions = network_conditions(experiment);
        Ok(Engine {
            experiment,
            now: START,
            queue: EventQueue::default(),
            gateways: Vec::new(),
            server_indices: indices.collect(),
            servers,
            clients,
            discovery: new_discovery(experiment, stream(DISCOVERY_STREAM)),
            datagrams: Datagrams::new(stream(DATAGRAM_STREAM), START, conditions, gateway_count),
            checker,
            open_requests: BTreeMap::new(),
            rng,
            action_buffer: Vec::new(),
            server_event_buffer: Vec::new(),
            decision_time: Duration::ZERO,
            new_module,
            log,
        })
    }

    fn gateway_ids(&self) -> impl Iterator<Item = GatewayId> {
        (0..self.experiment.gateway_count()).map(GatewayId)
    }

    fn gateway(&self, id: GatewayId) -> &SimulatedGateway {
        &self.gateways[id.0 as usize]
    }

    /// Whether a gateway has been neither killed nor restarted since.
    fn is_current(&self, run: GatewayRun) -> bool {
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

    fn schedule_initial_events(&mut self) -> Result<(), Failure> {
        for gateway in self.gateway_ids() {
            let zone = ZoneId(gateway.0 % self.experiment.zones);
            let state = SimulatedGateway {
                module: None,
                incarnation: 0,
                zone,
                down_noticed_at: START,
            };
            self.gateways.push(state);
            self.start_gateway(gateway)?;
        }
        for customer in 0..self.clients.customers.len() {
            self.schedule_next_arrival(customer);
        }
        let experiment = self.experiment;
        for scheduled in &experiment.faults.actions {
            self.schedule(scheduled.at, SimulationEvent::Fault(scheduled.action));
        }
        Ok(())
    }

    fn handle(&mut self, event: SimulationEvent) -> Result<(), Failure> {
        match event {
            SimulationEvent::Arrival { customer } => self.on_arrival(customer),
            SimulationEvent::Retry(request) => self.submit(*request),
            SimulationEvent::TimerFired { run, token } => self.on_timer(run, token),
            SimulationEvent::Datagram { from, to, bytes } => self.on_datagram(from, to, bytes),
            SimulationEvent::AttemptArrives { server, job } => {
                self.with_server(server, |server, now, events| {
                    server.arrive(now, job, events);
                });
            }
            SimulationEvent::RunDue { server, run } => {
                self.with_server(server, |server, now, events| {
                    server.complete(now, run, events);
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

fn demand(experiment: &Experiment) -> Demand {
    Demand {
        rate: experiment.rate,
        max_deadline: experiment.resolved.longest_deadline,
        surges: experiment.faults.surges.clone(),
        flood: experiment.faults.flood,
    }
}

fn network_conditions(experiment: &Experiment) -> NetworkConditions {
    NetworkConditions {
        delay: MESSAGE_DELAY,
        loss: MESSAGE_LOSS,
        temporary_loss: experiment.faults.message_loss,
        accepted_per_second: experiment.resolved.settings.peer_messages_per_second,
    }
}

fn new_servers(experiment: &Experiment, rng: &mut Rng) -> Vec<Server> {
    let rules = experiment.resolved.settings.rules;
    let endpoints = experiment.servers.iter();
    endpoints
        .map(|endpoint| Server::new(rng, *endpoint, experiment.machine.clone(), rules))
        .collect()
}

fn new_discovery(experiment: &Experiment, rng: Rng) -> Discovery {
    let outages = experiment.faults.discovery_outages.clone();
    let gateway_count = experiment.gateway_count() as usize;
    Discovery::new(
        rng,
        experiment.servers.clone(),
        gateway_count,
        DISCOVERY_DELAY,
        outages,
    )
}
