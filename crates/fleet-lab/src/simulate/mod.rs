//! `fleet-lab simulate`: a fleet of hollow nodes, each with the real decision library, in one
//! process and in simulated time.

mod engine;
mod experiment;
mod fault;
mod fault_schedule;
mod fault_scheduler;
mod fault_timing;
mod host;
mod plot;
mod report;
mod table;

pub use engine::{simulate, DecisionModule, ModuleResult, SimulationResult};
pub use experiment::{Experiment, ExperimentConfig};
pub use fault_schedule::{FaultAction, FaultSchedule, ScheduledAction};
pub use report::{ClassPlanCounts, ClassReport, ColdServer, MessageRates, Report};

use crate::Failure;
use anyhow::{anyhow, Context};
use gateway_core::Gateway;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Arguments of `fleet-lab simulate`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Number of gateways, from 1 to 65535.
    #[arg(long, default_value_t = 300)]
    nodes: u32,
    /// Number of servers at the start [default: two for every three gateways]
    #[arg(long)]
    servers: Option<u32>,
    /// Simulated time in which clients arrive, s.
    #[arg(long, default_value_t = 30)]
    seconds: u32,
    /// Seed of all random draws: the same seed gives the same output.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Demand within the quotas, as a fraction of the servers' capacity.
    #[arg(long, default_value_t = 0.5)]
    load: f64,
    /// Fault to inject; repeat the option for several: calm, burst, hang, slow, drain, kill, cut,
    /// silent, cold, restart, late.
    #[arg(long = "fault", visible_alias = "trouble")]
    faults: Vec<String>,
    /// File of settings in the simulator's JSON; its number of gateways is replaced.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Write the report to this file as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a plot over time to this file as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Show the log lines of the gateways on standard error.
    #[arg(long)]
    logs: bool,
}

impl Args {
    fn config(&self) -> Result<ExperimentConfig, Failure> {
        let settings = self.settings.as_ref().map(fs::read_to_string).transpose();
        let settings =
            settings.map_err(|error| Failure::InvalidArguments(format!("settings: {error}")))?;
        Ok(ExperimentConfig {
            nodes: self.nodes,
            servers: self.servers,
            seconds: self.seconds,
            seed: self.seed,
            load: self.load,
            faults: self.faults.clone(),
            settings,
        })
    }
}

/// Runs the experiment. Prints its report to standard output, and the time and memory that the run
/// used to standard error.
///
/// # Errors
/// Invalid arguments, a file that cannot be read or written, or a violated invariant.
pub fn run(args: &Args) -> Result<(), Failure> {
    let experiment = Experiment::new(&args.config()?)?;
    // The files are created before the simulation, so that a path that cannot be written fails at
    // once instead of after a long run.
    let json_file = args.json.as_deref().map(create_file).transpose()?;
    let plot_file = args.plot.as_deref().map(create_file).transpose()?;
    let host_usage = host::HostUsage::start();
    let result = run_experiment(&experiment, args.logs)?;
    let report = &result.report;
    print!("{report}");
    if let Some(mut file) = json_file {
        let text = serde_json::to_string_pretty(report)?;
        writeln!(file, "{text}").context("cannot write the report")?;
    }
    if let Some(mut file) = plot_file {
        let text = plot::draw(report)?;
        file.write_all(text.as_bytes())
            .context("cannot write the plot")?;
    }
    eprint!("{}", host_usage.summary(report, result.decision_time));
    if !report.violations.is_empty() {
        return Err(Failure::Failed(anyhow!(
            "rules were broken: {}",
            report.violation_summary()
        )));
    }
    Ok(())
}

fn create_file(path: &Path) -> Result<File, Failure> {
    File::create(path)
        .map_err(|error| Failure::InvalidArguments(format!("{}: {error}", path.display())))
}

fn run_experiment(experiment: &Experiment, show_logs: bool) -> Result<SimulationResult, Failure> {
    let new_module =
        |seed, settings, now| -> ModuleResult { Ok(Box::new(Gateway::new(seed, settings, now)?)) };
    let mut progress = host::progress_display(experiment.duration);
    let mut log = |line: &str| {
        if show_logs {
            eprintln!("{line}");
        }
    };
    simulate(experiment, new_module, &mut progress, &mut log)
}
