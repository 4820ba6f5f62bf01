//! `fleet-lab scaling`: what the decision module costs as the fleet grows. Each cost is measured over a range of sizes,
//! with its statistics over some repeats.
//!
//! Processor time is that of the measuring thread alone, so that other work on the machine influences it little. What
//! can be counted without a clock is counted as well: messages, bytes, allocations, live memory.

mod cost;
mod fleet;
mod gateway_pair;
mod measure;
mod plot;
mod report;
mod sizes;

pub use report::{CostCurve, CostPoint, Report, Statistics};
pub use sizes::{Dimension, FleetSizes};

use crate::Failure;
use anyhow::Context;
use fleet::MIN_ACTIVE_CUSTOMERS;
use measure::{Measurement, MEASUREMENTS};
use std::io::{IsTerminal, Write};
use std::path::PathBuf;

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Measure this cost alone; may be given more than once.
    #[arg(long, value_name = "NAME")]
    pub only: Vec<String>,
    /// Let the fleet grow in this dimension alone; may be given more than once.
    #[arg(long = "over", value_name = "SIZE")]
    pub dimensions: Vec<Dimension>,
    /// Largest size in any dimension.
    #[arg(long = "most", value_name = "N", default_value_t = 1_000_000)]
    pub max_size: u64,
    /// How often each point is measured, each time with another seed.
    #[arg(long, value_name = "N", default_value_t = 5)]
    pub repeats: u64,
    /// Seed of the first repeat.
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub seed: u64,
    /// Servers listed, while the fleet grows in another dimension.
    #[arg(long, value_name = "N", default_value_t = 200)]
    pub servers: u64,
    /// Customers met, while the fleet grows in another dimension.
    #[arg(long, value_name = "N", default_value_t = 1_000)]
    pub customers: u64,
    /// Gateways in the fleet, while it grows in another dimension.
    #[arg(long, value_name = "N", default_value_t = 300)]
    pub gateways: u64,
    /// Gateways that a customer's requests arrive through, while the fleet grows in another dimension; all by default.
    #[arg(
        long = "gateways-per-customer",
        visible_alias = "spread",
        value_name = "N"
    )]
    pub gateways_per_customer: Option<u64>,
    /// Requests open at the gateway, while the fleet grows in another dimension.
    #[arg(long = "open", value_name = "N", default_value_t = 10)]
    pub open_requests: u64,
    /// For CI: sizes up to 1,000 and two repeats.
    #[arg(long)]
    pub quick: bool,
    /// Write all figures to this file as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Draw processor time over size into this file as SVG.
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}

/// Most gateways: their numbers take two bytes in messages.
const MAX_GATEWAYS: u64 = 1 << 16;
/// Largest size with `--quick`.
const QUICK_MAX_SIZE: u64 = 1_000;
/// Repeats with `--quick`.
const QUICK_REPEATS: u64 = 2;

/// Measures what was asked for, prints it, and writes it to the files that were asked for.
///
/// # Errors
/// [`Failure::InvalidArguments`], or [`Failure::Failed`] if a file could not be written or a gateway did not work.
pub fn run(args: &Args) -> Result<(), Failure> {
    let plan = MeasurementPlan::new(args).map_err(Failure::InvalidArguments)?;
    let mut report = Report {
        seed: plan.seed,
        repeats: plan.repeats,
        base: plan.base,
        curves: Vec::new(),
    };
    for measurement in MEASUREMENTS
        .iter()
        .filter(|measurement| args.selects(measurement))
    {
        for dimension in measurement
            .dimensions
            .iter()
            .filter(|dimension| args.selects_dimension(**dimension))
        {
            let curve = plan.measure(measurement, *dimension)?;
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
    if report.curves.is_empty() {
        let problem = format!(
            "nothing that was named has a size of {} or less",
            plan.max_size
        );
        return Err(Failure::InvalidArguments(problem));
    }
    write_files(args, &report)?;
    Ok(())
}

fn write_files(args: &Args, report: &Report) -> anyhow::Result<()> {
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(report)?;
        std::fs::write(file, text + "\n").with_context(|| format!("{}", file.display()))?;
    }
    if let Some(file) = &args.plot {
        plot::draw(report, file).with_context(|| format!("{}", file.display()))?;
    }
    Ok(())
}

impl Args {
    fn selects(&self, measurement: &Measurement) -> bool {
        self.only.is_empty() || self.only.iter().any(|only| only == measurement.name)
    }

    fn selects_dimension(&self, dimension: Dimension) -> bool {
        self.dimensions.is_empty() || self.dimensions.contains(&dimension)
    }

    fn validate(&self) -> Result<(), String> {
        let names = MEASUREMENTS.map(|measurement| measurement.name);
        if let Some(name) = self
            .only
            .iter()
            .find(|only| !names.contains(&only.as_str()))
        {
            return Err(format!("--only {name:?} is none of {}", names.join(", ")));
        }
        validate_minimum("repeats", self.repeats, 1)?;
        validate_minimum("servers", self.servers, 1)?;
        validate_minimum("customers", self.customers, MIN_ACTIVE_CUSTOMERS)?;
        validate_minimum(
            "gateways-per-customer",
            self.gateways_per_customer.unwrap_or(1),
            1,
        )?;
        validate_minimum("open", self.open_requests, 1)?;
        if !(2..=MAX_GATEWAYS).contains(&self.gateways) {
            return Err(format!("--gateways must be from 2 to {MAX_GATEWAYS}"));
        }
        Ok(())
    }
}

fn validate_minimum(name: &str, value: u64, minimum: u64) -> Result<(), String> {
    if value < minimum {
        return Err(format!("--{name} must be at least {minimum}"));
    }
    Ok(())
}

/// What is measured, derived from valid arguments.
struct MeasurementPlan {
    seed: u64,
    repeats: u64,
    max_size: u64,
    /// The sizes in all dimensions but the one that grows.
    base: FleetSizes,
}

impl MeasurementPlan {
    fn new(args: &Args) -> Result<MeasurementPlan, String> {
        args.validate()?;
        let gateways_per_customer = args
            .gateways_per_customer
            .and_then(|count| u32::try_from(count).ok());
        let base = FleetSizes {
            servers: args.servers,
            customers: args.customers,
            gateways: args.gateways as u32,
            gateways_per_customer: gateways_per_customer.unwrap_or(u32::MAX),
            open_requests: args.open_requests,
        };
        let max_size = if args.quick {
            args.max_size.min(QUICK_MAX_SIZE)
        } else {
            args.max_size
        };
        let repeats = if args.quick {
            args.repeats.min(QUICK_REPEATS)
        } else {
            args.repeats
        };
        Ok(MeasurementPlan {
            seed: args.seed,
            repeats,
            max_size,
            base,
        })
    }

    /// Measures a cost at each size in a dimension.
    fn measure(
        &self,
        measurement: &Measurement,
        dimension: Dimension,
    ) -> anyhow::Result<CostCurve> {
        let max_size = match dimension {
            Dimension::GatewaysPerCustomer => self.max_size.min(u64::from(self.base.gateways)),
            _ => self.max_size,
        };
        let mut points = Vec::new();
        for size in dimension
            .sizes()
            .iter()
            .copied()
            .filter(|size| *size <= max_size)
        {
            show_progress(&format!("{} over {dimension}: {size}", measurement.name));
            points.push(self.measure_point(measurement, dimension, size)?);
        }
        Ok(CostCurve {
            name: measurement.name.to_owned(),
            dimension,
            points,
        })
    }

    fn measure_point(
        &self,
        measurement: &Measurement,
        dimension: Dimension,
        size: u64,
    ) -> anyhow::Result<CostPoint> {
        let sizes = self.base.with(dimension, size);
        let mut runs = Vec::new();
        for repeat in 0..self.repeats {
            let figures = (measurement.run)(self.seed.wrapping_add(repeat), sizes);
            runs.push(figures.with_context(|| format!("{} with {sizes:?}", measurement.name))?);
        }
        Ok(CostPoint::new(size, &runs))
    }
}

/// Shows on a terminal what is being measured, in place of what was shown before.
fn show_progress(text: &str) {
    let mut stderr = std::io::stderr();
    if stderr.is_terminal() {
        // Progress that cannot be shown is no reason to stop.
        let _ = write!(stderr, "\r\x1b[K{text}").and_then(|()| stderr.flush());
    }
}
