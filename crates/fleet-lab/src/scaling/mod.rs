//! `fleet-lab scaling`: measures the cost of the decision library as the fleet grows. Each cost is
//! measured over a range of sizes, with statistics over several repeats.
//!
//! Processor time is that of the measuring thread alone, so that other work on the machine has
//! little influence on it. Figures that need no clock are counted as well: messages, bytes,
//! allocations and live memory.

mod args;
mod cost;
mod fleet;
mod gateway_pair;
mod measure;
mod plan;
mod plot;
mod report;
mod sizes;

pub use args::Args;
pub use report::{CostCurve, CostPoint, Report, Statistics};
pub use sizes::{Dimension, FleetSizes};

use crate::Failure;
use anyhow::Context;
use plan::{show_progress, MeasurementPlan};

/// Measures the costs that the arguments ask for, prints the results, and writes them to the files
/// that the arguments name.
///
/// # Errors
/// Returns [`Failure::InvalidArguments`], or [`Failure::Failed`] if a file could not be written or
/// a gateway did not work.
pub fn run(args: &Args) -> Result<(), Failure> {
    let plan = MeasurementPlan::new(args).map_err(Failure::InvalidArguments)?;
    let report = measure(args, &plan)?;
    if report.curves.is_empty() {
        let problem = format!(
            "no selected cost has a selected dimension with a size of at most {}",
            plan.max_size
        );
        return Err(Failure::InvalidArguments(problem));
    }
    write_files(args, &report)?;
    Ok(())
}

/// Measures each cost over each dimension, and prints each curve as soon as it is measured.
fn measure(args: &Args, plan: &MeasurementPlan) -> anyhow::Result<Report> {
    let mut report = Report {
        seed: plan.seed,
        repeats: plan.repeats,
        base: plan.base,
        curves: Vec::new(),
    };
    for measurement in args.measurements() {
        for dimension in args.dimensions_of(measurement) {
            let curve = plan.measure(measurement, dimension)?;
            if curve.points.is_empty() {
                continue;
            }
            show_progress("");
            if report.curves.is_empty() {
                println!("{report}");
            }
            println!("{curve}");
            report.curves.push(curve);
        }
    }
    show_progress("");
    Ok(report)
}

fn write_files(args: &Args, report: &Report) -> anyhow::Result<()> {
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(report)?;
        std::fs::write(path, text + "\n")
            .with_context(|| format!("cannot write {}", path.display()))?;
    }
    if let Some(path) = &args.plot {
        plot::draw(report, path).with_context(|| format!("cannot write {}", path.display()))?;
    }
    Ok(())
}
