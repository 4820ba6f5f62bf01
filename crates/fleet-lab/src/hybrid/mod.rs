//! `fleet-lab hybrid`: runs real edge node processes on loopback together with hollow nodes. Both
//! kinds have the same customers and the same servers, and exchange datagrams. The invariants have
//! to hold over both kinds together, and the compared figures of both kinds have to agree.

pub mod figure;
pub mod invariant_checker;
pub mod invariant_result;
pub mod node_totals;
pub mod observed_request;
pub mod quotas;
pub mod report;

mod args;
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

pub use args::Args;

use crate::world::Rng;
use crate::Failure;
use anyhow::{anyhow, Context, Result};
use environment::Environment;
use nodes::ReservedPorts;
use rand::SeedableRng;
use report::Report;
use scenario::Scenario;
use std::io::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

/// Maximum duration of a run in addition to the time during which clients send requests.
const MAX_OVERTIME: Duration = Duration::from_secs(14);

/// Runs the nodes and prints the report.
///
/// # Errors
/// Returns an error if the arguments are invalid, a part of the run could not be started, an
/// invariant was violated, or the figures of the two kinds of nodes do not agree.
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
    let report = report.with_context(|| format!("the run did not end within {time_limit:?}"))??;
    write!(std::io::stdout(), "{report}")?;
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text + "\n")
            .with_context(|| format!("cannot write --json {}", path.display()))?;
    }
    let problems = report.problems();
    if !problems.is_empty() {
        return Err(Failure::Failed(anyhow!(problems.join("; "))));
    }
    Ok(())
}

/// Starts the environment and all nodes, generates the load, and shuts the nodes down.
async fn run_nodes(args: &Args, scenario: Scenario, program: PathBuf) -> Result<Report> {
    let folder = tempfile::tempdir().context("cannot create a folder for configuration files")?;
    let ports = ReservedPorts::reserve(args.real, scenario.size().nodes).await?;
    let environment = Environment::start(scenario, args.seed, &ports).await?;
    let mut rng = Rng::seed_from_u64(args.seed);
    let nodes = nodes::start_all(&environment, &program, folder.path(), ports, &mut rng).await?;
    let nodes = Rc::new(nodes);
    let totals = load::generate(&environment, &nodes, args.load(), rng).await?;
    let invariants = environment.checker.borrow().check();
    nodes::shut_down_all(Rc::into_inner(nodes).context("a client task still holds the nodes")?)
        .await?;
    Ok(Report::new(
        &totals.real,
        &totals.hollow,
        args.within,
        invariants,
    ))
}
