//! Command line of the lab. Exit status 2 means that the arguments or the experiment are invalid.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use fleet_lab::{hybrid, scaling, simulate, soak, Failure};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::process::ExitCode;

const INVALID_ARGUMENTS_STATUS: u8 = 2;

/// Counts allocations for `fleet-lab scaling`, at the cost of a few atomic additions per
/// allocation.
#[global_allocator]
static COUNTING_ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Experiments on the gateway, in simulated time and on loopback.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures the cost of a request, a changed endpoint and an endpoint list as servers,
    /// customers and gateways grow.
    Scaling(scaling::Args),
    /// Runs a fleet of hollow nodes in simulated time.
    Simulate(simulate::Args),
    /// Runs real processes on loopback together with hollow nodes.
    Hybrid(hybrid::Args),
    /// Runs a real process among stand-ins with disruptions drawn from seeds.
    Soak(soak::Args),
}

fn main() -> ExitCode {
    let command_line = match CommandLine::try_parse() {
        Ok(command_line) => command_line,
        Err(error) if error.use_stderr() => {
            // The first line states the error; the other lines are usage hints.
            let message = error.to_string();
            let first_line = message.lines().next().unwrap_or_default();
            eprintln!("fleet-lab: {}", first_line.trim_start_matches("error: "));
            return ExitCode::from(INVALID_ARGUMENTS_STATUS);
        }
        Err(help) => help.exit(),
    };
    let result = match command_line.command {
        Command::Scaling(args) => scaling::run(&args),
        Command::Simulate(args) => simulate::run(&args),
        Command::Hybrid(args) => hybrid::run(&args),
        Command::Soak(args) => soak::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::InvalidArguments(problem)) => {
            eprintln!("fleet-lab: {problem}");
            ExitCode::from(INVALID_ARGUMENTS_STATUS)
        }
        Err(Failure::Failed(error)) => {
            eprintln!("fleet-lab: {error:#}");
            ExitCode::FAILURE
        }
    }
}
