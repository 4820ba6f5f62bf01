//! Initial state of a simulation.

use super::decision_module::ModuleFactory;
use super::queue::{EventQueue, SimulationEvent};
use super::state::SimulatedGateway;
use super::Engine;
use crate::simulate::experiment::Experiment;
use crate::world::clients::{Clients, Demand};
use crate::world::customer_account::CustomerPlan;
use crate::world::datagrams::{Datagrams, NetworkConditions};
use crate::world::discovery::Discovery;
use crate::world::invariant_checker::InvariantChecker;
use crate::world::servers::Server;
use crate::world::{random_stream, Rng, START};
use crate::Failure;
use gateway_core::settings::ResolvedSettings;
use gateway_core::{ServerId, ZoneId};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Delay after which a gateway receives a change of the endpoint list.
const DISCOVERY_DELAY: Range<Duration> = Duration::from_millis(300)..Duration::from_secs(3);
/// One-way delay of a message between gateways.
const MESSAGE_DELAY: Range<Duration> = Duration::from_micros(1_500)..Duration::from_millis(10);
/// Fraction of messages between gateways that is always lost.
const MESSAGE_LOSS_FRACTION: f64 = 0.03;
/// Random stream of the engine.
const ENGINE_STREAM: u64 = 0;
/// Random stream of the clients.
const CLIENT_STREAM: u64 = 1;
/// Random stream of discovery.
const DISCOVERY_STREAM: u64 = 2;
/// Random stream of the messages between gateways.
const DATAGRAM_STREAM: u64 = 3;

impl<'a> Engine<'a> {
    /// Creates a simulation before its first event.
    ///
    /// # Errors
    /// An error if the invariant checker cannot be created.
    pub(super) fn new(
        experiment: &'a Experiment,
        new_module: &'a mut ModuleFactory<'a>,
        log: &'a mut dyn FnMut(&str),
    ) -> Result<Engine<'a>, Failure> {
        let settings = &experiment.resolved.settings;
        let stream = |part| random_stream(experiment.seed, part);
        let clients = Clients::new(stream(CLIENT_STREAM), START, settings, &demand(experiment));
        let checker = new_checker(experiment, &clients)?;
        let mut rng = stream(ENGINE_STREAM);
        let servers = new_servers(experiment, &mut rng);
        let gateway_count = experiment.gateway_count() as usize;
        let conditions = network_conditions(experiment);
        Ok(Engine {
            experiment,
            now: START,
            queue: EventQueue::default(),
            gateways: Vec::new(),
            server_indices: indices_by_id(&servers),
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

    /// Starts all gateways, and schedules the first request of each customer and all faults.
    ///
    /// # Errors
    /// [`Failure::InvalidArguments`] if a gateway rejects its settings.
    pub(super) fn schedule_initial_events(&mut self) -> Result<(), Failure> {
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
        loss: MESSAGE_LOSS_FRACTION,
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

fn indices_by_id(servers: &[Server]) -> BTreeMap<ServerId, usize> {
    let servers = servers.iter().enumerate();
    servers
        .map(|(index, server)| (server.endpoint.server, index))
        .collect()
}

fn new_checker(experiment: &Experiment, clients: &Clients) -> anyhow::Result<InvariantChecker> {
    let customers = clients.customers.iter();
    let plans = customers.map(|customer| CustomerPlan {
        customer: customer.id,
        plan: customer.plan,
    });
    let ResolvedSettings {
        settings,
        drain_grace,
        ..
    } = &experiment.resolved;
    InvariantChecker::new(settings.clone(), *drain_grace, plans)
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
