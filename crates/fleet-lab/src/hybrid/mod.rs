//! `fleet-lab hybrid`: real processes on loopback together with hollow nodes, with the same customers, the same servers
//! and the same datagrams. The invariants have to hold over both kinds together, and both kinds have to cost and send
//! alike.

pub mod ledger;
pub mod observed_request;
pub mod quotas;
pub mod report;

mod customers;
mod datagrams;
mod discovery_agent;
mod endpoint_registry;
mod environment;
mod hollow_node;
mod load;
mod node_settings;
mod nodes;
mod plan_quotas;
mod real_node;
mod scenario;
mod server_faults;
mod server_http;
mod servers;

use crate::world::Rng;
use crate::Failure;
use anyhow::{anyhow, Context, Result};
use datagrams::Datagrams;
use endpoint_registry::EndpointRegistry;
use environment::{Clock, Environment};
use ledger::Ledger;
use load::LoadConfig;
use nodes::ReservedPorts;
use rand::SeedableRng;
use report::Report;
use scenario::{Scenario, ScenarioSize, DRAIN_GRACE};
use server_faults::FaultProfile;
use servers::Server;
use std::cell::RefCell;
use std::io::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Most time that a run takes in addition to the time in which clients arrive.
const MAX_OVERTIME: Duration = Duration::from_secs(14);
/// Most requests a second, over all nodes: all share one processor here.
const MAX_RATE: f64 = 5000.0;
const MAX_REAL_NODES: u32 = 4;
const MAX_HOLLOW_NODES: u32 = 100;
const MAX_SECONDS: u32 = 120;
const MAX_FLEET_SIZE: u32 = 1000;

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Real nodes, 1 to 4.
    #[arg(long, default_value_t = 2)]
    real: u32,
    /// Hollow nodes, 1 to 100.
    #[arg(long, default_value_t = 10)]
    hollow: u32,
    /// Time in which clients arrive, in seconds, 1 to 120.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
    /// Requests a second at each node, on average.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of nodes in the settings, 1000 at most; those that do not run are silent. By default all run.
    #[arg(long)]
    fleet_size: Option<u32>,
    /// The factor within which real and hollow nodes have to agree, beyond what chance explains.
    #[arg(long, default_value_t = 2.0)]
    within: f64,
    /// The share of a quota that may be used on top of it in the long run: a standby owner's part in a large fleet, and
    /// in a small one what nodes forget of debts deeper than their token buckets.
    #[arg(long, visible_alias = "doubt", default_value_t = 0.3)]
    quota_tolerance: f64,
    /// The faults of the servers.
    #[arg(long = "fault", visible_alias = "trouble", value_enum, default_value_t = FaultProfile::Mixed)]
    faults: FaultProfile,
    /// The edge node's program; by default the one in the folder of this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Write the figures to this file as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl Args {
    /// The scenario that these describe, or why they describe none.
    fn scenario(&self) -> Result<Scenario, String> {
        validate_range("real", self.real, MAX_REAL_NODES)?;
        validate_range("hollow", self.hollow, MAX_HOLLOW_NODES)?;
        validate_range("seconds", self.seconds, MAX_SECONDS)?;
        let nodes = self.real + self.hollow;
        let fleet_size = self.fleet_size.unwrap_or(nodes);
        if !(nodes..=MAX_FLEET_SIZE).contains(&fleet_size) {
            return Err(format!(
                "--fleet-size {fleet_size}: it has to be from {nodes}, the nodes there are, to {MAX_FLEET_SIZE}"
            ));
        }
        if !(self.rate > 0.0 && self.rate * f64::from(nodes) <= MAX_RATE) {
            return Err(format!(
                "--rate {}: it has to be above 0, and {MAX_RATE} over all nodes at most",
                self.rate
            ));
        }
        if !(self.within >= 1.0 && self.within.is_finite()) {
            return Err(format!("--within {}: a factor is 1 or more", self.within));
        }
        if !(0.0..=1.0).contains(&self.quota_tolerance) {
            return Err(format!(
                "--quota-tolerance {}: a share is from 0 to 1",
                self.quota_tolerance
            ));
        }
        let (rate_per_node, quota_tolerance) = (self.rate, self.quota_tolerance);
        Ok(Scenario::new(ScenarioSize {
            nodes,
            fleet_size,
            rate_per_node,
            quota_tolerance,
        }))
    }

    /// The edge node's program, or why there is none.
    fn program(&self) -> Result<PathBuf, String> {
        let in_own_folder = || Some(std::env::current_exe().ok()?.parent()?.join("edge-node"));
        let program = self
            .program
            .clone()
            .or_else(in_own_folder)
            .unwrap_or_default();
        if !program.is_file() {
            return Err(format!(
                "no program at {}: `cargo build --release` builds it",
                program.display()
            ));
        }
        Ok(program)
    }

    fn load(&self) -> LoadConfig {
        LoadConfig {
            seconds: f64::from(self.seconds),
            seed: self.seed,
            faults: self.faults,
        }
    }
}

fn validate_range(name: &str, value: u32, max: u32) -> Result<(), String> {
    if !(1..=max).contains(&value) {
        return Err(format!("--{name} {value}: it has to be from 1 to {max}"));
    }
    Ok(())
}

/// Runs the nodes and prints the report.
///
/// # Errors
/// The arguments are invalid, a part of the run could not be started, an invariant was violated, or the two kinds of
/// nodes do not agree.
pub fn run(args: &Args) -> Result<(), Failure> {
    let scenario = args.scenario().map_err(Failure::InvalidArguments)?;
    let program = args.program().map_err(Failure::InvalidArguments)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let time_limit = Duration::from_secs(args.seconds.into()) + MAX_OVERTIME;
    let limited_run =
        async { tokio::time::timeout(time_limit, run_nodes(args, scenario, program)).await };
    let report = LocalSet::new().block_on(&runtime, limited_run);
    let report = report.with_context(|| format!("it was not over after {time_limit:?}"))??;
    write!(std::io::stdout(), "{report}")?;
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text + "\n").with_context(|| format!("--json {}", path.display()))?;
    }
    let problems = report.problems();
    if !problems.is_empty() {
        return Err(Failure::Failed(anyhow!(problems.join("; "))));
    }
    Ok(())
}

/// Starts the environment and all nodes, generates the load, and shuts the nodes down.
async fn run_nodes(args: &Args, scenario: Scenario, program: PathBuf) -> Result<Report> {
    let folder = tempfile::tempdir().context("a folder for configurations")?;
    let ports = ReservedPorts::reserve(args.real, scenario.size().nodes).await?;
    let environment = start_environment(scenario, args.seed, &ports).await?;
    let mut rng = Rng::seed_from_u64(args.seed);
    let nodes = nodes::start_all(&environment, &program, folder.path(), ports, &mut rng).await?;
    let nodes = Rc::new(nodes);
    let totals = load::generate(&environment, &nodes, args.load(), rng).await?;
    let invariants = environment.ledger.borrow().check();
    nodes::shut_down_all(Rc::into_inner(nodes).context("a client still holds the nodes")?).await?;
    Ok(Report::new(
        &totals.real,
        &totals.hollow,
        args.within,
        invariants,
    ))
}

/// Starts the servers and the network between the nodes.
async fn start_environment(
    scenario: Scenario,
    seed: u64,
    ports: &ReservedPorts,
) -> Result<Rc<Environment>> {
    let clock = Clock::start();
    let servers = Server::all(scenario.server_slots(), seed);
    let registry = EndpointRegistry::new();
    let listeners = register_servers(&servers, &registry).await?;
    let datagrams =
        Datagrams::bind(&ports.addresses()?, scenario.size().fleet_size as usize).await?;
    let ledger = RefCell::new(Ledger::new(
        clock.now(),
        DRAIN_GRACE,
        scenario.customer_quotas(),
    ));
    let environment = Rc::new(Environment {
        clock,
        scenario,
        ledger,
        servers,
        registry,
        datagrams,
    });
    for (server, listener) in listeners.into_iter().enumerate() {
        tokio::task::spawn_local(server_http::serve(
            Rc::clone(&environment),
            server,
            listener,
        ));
    }
    let counting = Rc::clone(&environment);
    tokio::task::spawn_local(async move { counting.datagrams.count_undeliverable().await });
    Ok(environment)
}

/// Binds a port for each server, and adds the server to the list.
async fn register_servers(
    servers: &[Server],
    registry: &EndpointRegistry,
) -> Result<Vec<TcpListener>> {
    let mut listeners = Vec::new();
    for server in servers {
        let listener = nodes::bind_listener().await?;
        registry.add(server.name.clone(), server.id, listener.local_addr()?);
        listeners.push(listener);
    }
    Ok(listeners)
}
