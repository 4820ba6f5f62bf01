//! The laboratory's command line. Exit status 2 says that the arguments or the experiment make no sense.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use fleet_lab::{hybrid, scaling, simulate, Failure};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::process::ExitCode;

/// Counts allocations for `fleet-lab scaling`, at the price of a few atomic additions each.
#[global_allocator]
static COUNTED: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Experiments on the gateway, in simulated time and on loopback.
#[derive(Parser)]
#[command(version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures what a request, a changed entry and a list cost as servers, customers and gateways grow.
    Scaling(scaling::Args),
    /// Plays a fleet of hollow nodes in simulated time.
    Simulate(simulate::Args),
    /// Plays real processes on loopback beside hollow nodes.
    Hybrid(hybrid::Args),
}

fn main() -> ExitCode {
    let line = match Line::try_parse() {
        Ok(line) => line,
        Err(error) if error.use_stderr() => {
            // The first line says what is wrong; the rest is advice.
            let said = error.to_string();
            eprintln!("fleet-lab: {}", said.lines().next().unwrap_or_default().trim_start_matches("error: "));
            return ExitCode::from(2);
        }
        Err(help) => help.exit(),
    };
    let ended = match line.command {
        Command::Scaling(args) => scaling::run(&args),
        Command::Simulate(args) => simulate::run(&args),
        Command::Hybrid(args) => hybrid::run(&args),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Senseless(why)) => {
            eprintln!("fleet-lab: {why}");
            ExitCode::from(2)
        }
        Err(Failure::Failed(error)) => {
            eprintln!("fleet-lab: {error:#}");
            ExitCode::FAILURE
        }
    }
}
