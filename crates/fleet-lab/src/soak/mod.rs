//! `fleet-lab soak`: runs a real edge node on loopback among stand-ins of clients, servers and
//! discovery. A schedule of disruptions is drawn from each seed, and the rules of the protocol are
//! checked on what clients and servers have seen.

mod clients;
mod discovery;
mod http;
mod node;
mod records;
mod schedule;
mod servers;

use crate::edge_node_process;
use crate::Failure;
use anyhow::{anyhow, Context, Result};
use clients::Client;
use discovery::Discovery;
use node::Node;
use records::{Records, Violation, DEADLINE};
use rustix::process::Signal;
use schedule::{Schedule, LOAD_TIME, SERVER_COUNT};
use servers::Server;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// Time after the longest deadline at which the platform may kill a process that it has asked to
/// end.
const KILL_DELAY: Duration = Duration::from_millis(700);
const TERMINATION_GAP: Duration = Duration::from_millis(20);
/// Time after the end of the process in which clients detect the end of their connections.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Maximum number of runs at the same time.
const MAX_PARALLEL: u32 = 8;

/// Arguments of `fleet-lab soak`.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Number of runs, each with a seed of its own.
    #[arg(long, default_value_t = 3)]
    runs: u64,
    /// Seed of the first run; the other runs have the seeds after it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs at the same time, from 1 to 8.
    #[arg(long, default_value_t = 3)]
    parallel: u32,
    /// Number of clients in each run.
    #[arg(long, default_value_t = 30)]
    clients: usize,
    /// Path of the edge node's program; defaults to `edge-node` in the folder of this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Library that is preloaded into the edge node.
    #[arg(long)]
    preload: Option<PathBuf>,
}

/// What a run has shown.
struct RunReport {
    /// Number of requests by their ending.
    endings: BTreeMap<String, usize>,
    violations: Vec<Violation>,
}

/// Makes all runs, and prints a line for each and the broken rules.
///
/// # Errors
/// Returns an error if the arguments are invalid, a run could not be made, or a rule was broken.
pub fn run(args: &Args) -> Result<(), Failure> {
    if !(1..=MAX_PARALLEL).contains(&args.parallel) || args.runs == 0 {
        let problem = format!("--parallel must be from 1 to {MAX_PARALLEL}, and --runs at least 1");
        return Err(Failure::InvalidArguments(problem));
    }
    let program = edge_node_process::find_program(args.program.as_deref());
    let program = program.map_err(Failure::InvalidArguments)?;
    let next_seed = AtomicU64::new(args.seed);
    let failed_seeds = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..args.parallel {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= args.seed + args.runs {
                    return;
                }
                let result = run_seed(args, &program, seed);
                if !print_result(seed, &result) {
                    failed_seeds.lock().map(|mut seeds| seeds.push(seed)).ok();
                }
            });
        }
    });
    let failed = failed_seeds.into_inner().unwrap_or_default();
    println!("{} runs, {} failed", args.runs, failed.len());
    if failed.is_empty() {
        return Ok(());
    }
    Err(Failure::Failed(anyhow!(
        "rules were broken with the seeds {failed:?}"
    )))
}

/// Prints the result of a run. Returns whether no rule was broken.
fn print_result(seed: u64, result: &Result<RunReport>) -> bool {
    let report = match result {
        Ok(report) => report,
        Err(error) => {
            println!("seed {seed}: {error:#}");
            return false;
        }
    };
    let RunReport {
        endings,
        violations,
    } = report;
    println!(
        "seed {seed}: {} broken rules; requests {endings:?}",
        violations.len()
    );
    if !violations.is_empty() {
        println!("  schedule: {}", Schedule::draw(seed));
    }
    for (rule, count, first) in Violation::by_rule(violations) {
        println!("  {rule}: {count} times, first {}", first.trace);
    }
    violations.is_empty()
}

fn run_seed(args: &Args, program: &std::path::Path, seed: u64) -> Result<RunReport> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run_schedule(args, program, seed))
}

/// Starts all parts, applies the disruptions, and ends the process.
async fn run_schedule(args: &Args, program: &std::path::Path, seed: u64) -> Result<RunReport> {
    let schedule = Schedule::draw(seed);
    let records = Rc::new(Records::default());
    let folder = tempfile::tempdir().context("cannot create a folder for the configuration")?;
    let started_at = Instant::now();
    let addresses = start_servers(&schedule, started_at, &records).await?;
    let discovery = Rc::new(Discovery {
        schedule: schedule.clone(),
        servers: addresses,
        started_at,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let known_list = discovery.list();
    spawn_local(discovery.serve(listener));
    let preload = args.preload.as_deref();
    let mut node = Node::start(program, preload, folder.path(), address, &known_list).await?;
    for number in 0..args.clients {
        let client = Client::new(number, seed, node.address, Rc::clone(&records));
        spawn_local(client.run());
    }
    for number in 0..schedule.idle_clients {
        spawn_local(clients::run_idle(number, node.address));
    }
    apply_signals(&schedule, &node, started_at).await;
    node.check_running()?;
    for _ in 0..schedule.terminations {
        node.signal(Signal::TERM);
        sleep(TERMINATION_GAP).await;
    }
    let limit = DEADLINE + KILL_DELAY - TERMINATION_GAP * schedule.terminations;
    let was_killed = node.wait_or_kill(limit).await?;
    let killed_at = was_killed.then(Instant::now);
    sleep(SETTLING_TIME).await;
    let endings = records.counts();
    let violations = records.violations(&schedule, started_at, killed_at);
    Ok(RunReport {
        endings,
        violations,
    })
}

async fn start_servers(
    schedule: &Schedule,
    started_at: Instant,
    records: &Rc<Records>,
) -> Result<Vec<std::net::SocketAddr>> {
    let mut addresses = Vec::new();
    for index in 0..SERVER_COUNT {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        let server = Server {
            index,
            schedule: schedule.clone(),
            started_at,
            records: Rc::clone(records),
        };
        spawn_local(Rc::new(server).serve(listener));
    }
    Ok(addresses)
}

/// Sends SIGHUP and stops the process at the times of the schedule, until the load ends.
async fn apply_signals(schedule: &Schedule, node: &Node, started_at: Instant) {
    let hangups = async {
        for time in &schedule.hangups {
            sleep_until(started_at + *time).await;
            node.signal(Signal::HUP);
        }
    };
    let stops = async {
        for time in &schedule.stops {
            sleep_until(started_at + *time).await;
            node.stop_briefly().await;
        }
    };
    tokio::join!(hangups, stops, sleep_until(started_at + LOAD_TIME));
}
