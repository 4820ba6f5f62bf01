//! `fleet-lab simulate`: a fleet of hollow nodes, each the real decision module, in one process and in simulated time.

mod engine;
mod experiment;
mod faults;
mod host;
mod plot;
mod report;

pub use engine::{play, Decides, Played};
pub use experiment::{Asked, Experiment};
pub use report::Report;

use crate::Failure;
use anyhow::Context;
use edge_node::Gateway;
use std::fs::{self, File};
use std::io::Write;
use std::path::PathBuf;

/// What the command is told.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Gateways.
    #[arg(long, default_value_t = 300)]
    nodes: u32,
    /// Servers at the start [default: two for every three gateways]
    #[arg(long)]
    servers: Option<u32>,
    /// Seconds of simulated time in which clients come.
    #[arg(long, default_value_t = 30)]
    seconds: u32,
    /// Fixes all chance: the same seed gives the same output.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// What is asked for inside the quotas, as a share of what the servers can do.
    #[arg(long, default_value_t = 0.5)]
    load: f64,
    /// A trouble by name, again for more: calm, burst, hang, slow, drain, kill, cut, silent, cold, restart.
    #[arg(long)]
    trouble: Vec<String>,
    /// Settings in the simulator's JSON; the number of gateways is put in.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Writes the report there as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes a plot over time there.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Shows what the gateways log, on standard error.
    #[arg(long)]
    logs: bool,
}

/// Plays the experiment and reports: the table on standard output; what the host took on standard error.
///
/// # Errors
/// Senseless arguments, a file that cannot be read or written, or a broken rule.
pub fn run(args: &Args) -> Result<(), Failure> {
    let settings = args.settings.as_ref().map(fs::read_to_string).transpose();
    let settings = settings.map_err(|error| Failure::Senseless(format!("settings: {error}")))?;
    let asked = Asked {
        nodes: args.nodes,
        servers: args.servers,
        seconds: args.seconds,
        seed: args.seed,
        load: args.load,
        troubles: args.trouble.clone(),
        settings,
    };
    let experiment = Experiment::new(&asked)?;
    // Danger: a long play whose report has nowhere to go.
    let create = |path: &PathBuf| {
        File::create(path).map_err(|error| Failure::Senseless(format!("{}: {error}", path.display())))
    };
    let json = args.json.as_ref().map(create).transpose()?;
    let plot = args.plot.as_ref().map(create).transpose()?;
    let clock = host::Clock::start();
    let mut log = |line: &str| {
        if args.logs {
            eprintln!("{line}");
        }
    };
    let played = play(
        &experiment,
        |seed, settings, now| Ok(Box::new(Gateway::new(seed, settings, now)?)),
        &mut host::progress(experiment.span),
        &mut log,
    )?;
    let report = &played.report;
    print!("{}", report.table());
    if let Some(mut file) = json {
        let text = serde_json::to_string_pretty(report)?;
        writeln!(file, "{text}").context("the report cannot be written")?;
    }
    if let Some(mut file) = plot {
        let drawn = plot::draw(report)?;
        file.write_all(drawn.as_bytes()).context("the plot cannot be written")?;
    }
    eprint!("{}", clock.used(report, played.deciding));
    match report.broken.is_empty() {
        true => Ok(()),
        false => Err(Failure::Failed(anyhow::anyhow!("rules were broken: {}", report.broken_line()))),
    }
}
