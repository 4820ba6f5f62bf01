//! What the decision module costs as the fleet grows: each cost over a range of sizes, with its spread.
//!
//! Processor time is that of the measuring thread alone, so that other work on the machine moves it little. What can
//! be counted without a clock is counted as well: messages, bytes, allocations, live memory.

mod fixture;
mod measure;
mod plot;
mod report;

pub use report::{Figure, Point, Report, Slope, Spread};

use crate::Failure;
use anyhow::Context;
use std::fmt;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;

/// What the command is told.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Measure this cost alone; may be given more than once.
    #[arg(long, value_name = "NAME")]
    pub only: Vec<String>,
    /// Let this size alone grow; may be given more than once.
    #[arg(long, value_name = "SIZE")]
    pub over: Vec<Over>,
    /// Largest size of any range.
    #[arg(long, value_name = "N", default_value_t = 1_000_000)]
    pub most: u64,
    /// How often each point is measured, each time with another seed.
    #[arg(long, value_name = "N", default_value_t = 5)]
    pub repeats: u64,
    /// Seed of the first repeat.
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub seed: u64,
    /// Servers listed, where another size grows.
    #[arg(long, value_name = "N", default_value_t = 200)]
    pub servers: u64,
    /// Customers met, where another size grows.
    #[arg(long, value_name = "N", default_value_t = 1_000)]
    pub customers: u64,
    /// Gateways in the fleet, where another size grows.
    #[arg(long, value_name = "N", default_value_t = 300)]
    pub gateways: u64,
    /// Gateways that a customer's tries come through, where another size grows; all, if this is left out.
    #[arg(long, value_name = "N")]
    pub spread: Option<u64>,
    /// Requests open at the gateway, where another size grows.
    #[arg(long, value_name = "N", default_value_t = 10)]
    pub open: u64,
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

/// A size that grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Over {
    /// Servers listed.
    Servers,
    /// Customers met.
    Customers,
    /// Gateways in the fleet.
    Gateways,
    /// Gateways that a customer's tries come through.
    Spread,
    /// Requests open at the gateway.
    Open,
}

impl Over {
    /// The range that is measured.
    fn range(self) -> &'static [u64] {
        match self {
            Over::Servers => &[14, 60, 200, 1_000, 5_000, 20_000, 110_000],
            Over::Customers => &[100, 1_000, 10_000, 100_000, 1_000_000],
            Over::Gateways | Over::Spread => &[3, 12, 60, 300, 1_000, 4_200],
            Over::Open => &[1, 10, 100, 1_000],
        }
    }
}

impl fmt::Display for Over {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Over::Servers => "servers",
            Over::Customers => "customers",
            Over::Gateways => "gateways",
            Over::Spread => "spread",
            Over::Open => "open",
        })
    }
}

/// A fleet as one gateway sees it.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Sizes {
    /// Servers listed.
    pub servers: u64,
    /// Customers met.
    pub customers: u64,
    /// Gateways in the fleet.
    pub gateways: u32,
    /// Gateways that a customer's tries come through, all if there are not so many.
    pub spread: u32,
    /// Requests open at the gateway.
    pub open: u64,
}

impl Sizes {
    fn with(self, over: Over, size: u64) -> Sizes {
        let narrow = u32::try_from(size).unwrap_or(u32::MAX);
        match over {
            Over::Servers => Sizes { servers: size, ..self },
            Over::Customers => Sizes { customers: size, ..self },
            Over::Gateways => Sizes { gateways: narrow, ..self },
            Over::Spread => Sizes { spread: narrow, ..self },
            Over::Open => Sizes { open: size, ..self },
        }
    }
}

/// Gateways are named in two bytes of a datagram; the lab asks for no fleet that could not speak.
const GATEWAYS_MOST: u64 = 1 << 16;
/// Sizes and repeats of `--quick`.
const QUICK: (u64, u64) = (1_000, 2);

/// Measures what was asked for, prints it, and writes it where that was asked for.
///
/// # Errors
/// [`Failure::InvalidArguments`] for arguments that make no sense, [`Failure::Failed`] if a file could not be written or a
/// gateway did not do its work.
pub fn run(args: &Args) -> Result<(), Failure> {
    let (base, most, repeats) = checked(args).map_err(Failure::InvalidArguments)?;
    let mut report = Report { seed: args.seed, repeats, base, slopes: Vec::new() };
    for cost in measure::COSTS.iter().filter(|cost| wanted(args, cost.name)) {
        for over in cost.over.iter().filter(|over| args.over.is_empty() || args.over.contains(over)) {
            let mut points = Vec::new();
            let most = if *over == Over::Spread { most.min(u64::from(base.gateways)) } else { most };
            for size in over.range().iter().filter(|size| **size <= most) {
                progress(&format!("{} over {over}: {size}", cost.name));
                let sizes = base.with(*over, *size);
                let runs: Result<Vec<_>, _> =
                    (0..repeats).map(|repeat| (cost.run)(args.seed.wrapping_add(repeat), sizes)).collect();
                let runs = runs.with_context(|| format!("{} with {sizes:?}", cost.name))?;
                points.push(Point { size: *size, figures: report::figures(&runs) });
            }
            if !points.is_empty() {
                let slope = Slope { name: cost.name.to_owned(), over: *over, points };
                progress("");
                if report.slopes.is_empty() {
                    println!("{report}");
                }
                println!("{slope}");
                report.slopes.push(slope);
            }
        }
    }
    progress("");
    if report.slopes.is_empty() {
        return Err(Failure::InvalidArguments(format!(
            "nothing that was named has a size of {most} or less"
        )));
    }
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(file, text + "\n").with_context(|| format!("{}", file.display()))?;
    }
    if let Some(file) = &args.plot {
        plot::slopes(&report, file).with_context(|| format!("{}", file.display()))?;
    }
    Ok(())
}

fn wanted(args: &Args, name: &str) -> bool {
    args.only.is_empty() || args.only.iter().any(|only| only == name)
}

fn checked(args: &Args) -> Result<(Sizes, u64, u64), String> {
    let known = || measure::COSTS.iter().map(|cost| cost.name);
    if let Some(name) = args.only.iter().find(|only| known().all(|name| name != *only)) {
        let names = known().collect::<Vec<_>>().join(", ");
        return Err(format!("--only {name:?} is none of {names}"));
    }
    let least = [
        ("repeats", args.repeats, 1),
        ("servers", args.servers, 1),
        ("customers", args.customers, fixture::ACTIVE),
        ("spread", args.spread.unwrap_or(1), 1),
        ("open", args.open, 1),
    ];
    if let Some((name, _, least)) = least.iter().find(|(_, figure, least)| figure < least) {
        return Err(format!("--{name} must be at least {least}"));
    }
    if !(2..=GATEWAYS_MOST).contains(&args.gateways) {
        return Err(format!("--gateways must be from 2 to {GATEWAYS_MOST}"));
    }
    let (servers, customers, open) = (args.servers, args.customers, args.open);
    let spread = args.spread.and_then(|spread| u32::try_from(spread).ok()).unwrap_or(u32::MAX);
    let base = Sizes { servers, customers, gateways: args.gateways as u32, spread, open };
    let (most, repeats) = if args.quick { QUICK } else { (u64::MAX, u64::MAX) };
    Ok((base, args.most.min(most), args.repeats.min(repeats)))
}

/// Says on a terminal what is being measured, in place of what it said before.
fn progress(what: &str) {
    let mut stderr = std::io::stderr();
    if stderr.is_terminal() {
        // Progress that cannot be shown is no reason to stop.
        let _ = write!(stderr, "\r\x1b[K{what}").and_then(|()| stderr.flush());
    }
}
