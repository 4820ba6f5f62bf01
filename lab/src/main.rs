//! The laboratory's command line. Exit status 2 says that the arguments or the experiment make no sense.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use lab::{beside, fleet, slopes, Failure};
use std::process::ExitCode;

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
    Slopes(slopes::Args),
    /// Plays a fleet of hollow nodes in simulated time.
    Fleet(fleet::Args),
    /// Plays real processes on loopback beside hollow nodes.
    Beside(beside::Args),
}

fn main() -> ExitCode {
    let ended = match Line::parse().command {
        Command::Slopes(args) => slopes::run(&args),
        Command::Fleet(args) => fleet::run(&args),
        Command::Beside(args) => beside::run(&args),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Senseless(why)) => {
            eprintln!("lab: {why}");
            ExitCode::from(2)
        }
        Err(Failure::Failed(error)) => {
            eprintln!("lab: {error:#}");
            ExitCode::FAILURE
        }
    }
}
