//! The command-line arguments of `fleet-lab hybrid`, and the scenario and load that they describe.

use super::load::LoadConfig;
use super::scenario::{Scenario, ScenarioSize};
use super::server_faults::FaultProfile;
use crate::edge_node_process;
use std::path::PathBuf;

/// Maximum number of requests per second over all nodes. Clients, servers and hollow nodes share
/// one thread.
const MAX_RATE: f64 = 5000.0;
/// Maximum number of real nodes.
const MAX_REAL_NODES: u32 = 4;
/// Maximum number of hollow nodes.
const MAX_HOLLOW_NODES: u32 = 100;
/// Maximum time during which clients send requests, in seconds.
const MAX_SECONDS: u32 = 120;
/// Maximum number of nodes in the settings.
const MAX_FLEET_SIZE: u32 = 1000;

/// Arguments of `fleet-lab hybrid`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Number of real nodes, from 1 to 4: processes of the edge node.
    #[arg(long, default_value_t = 2)]
    pub(super) real: u32,
    /// Number of hollow nodes, from 1 to 100: decision libraries inside this process.
    #[arg(long, default_value_t = 10)]
    hollow: u32,
    /// Time during which clients send requests, in seconds, from 1 to 120.
    #[arg(long, default_value_t = 10)]
    pub(super) seconds: u32,
    /// Mean number of requests per second at each node.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Number of nodes in the settings, at most 1000; nodes that do not run are silent. Defaults to
    /// the number of nodes that run.
    #[arg(long)]
    fleet_size: Option<u32>,
    /// Largest factor by which figures of real and hollow nodes may differ, beyond what chance
    /// explains.
    #[arg(long, default_value_t = 2.0)]
    pub(super) within: f64,
    /// Fraction of a quota that may be used in addition to the quota in the long run: in a large
    /// fleet the standby owner's part, in a small fleet the debts that nodes forget because they
    /// exceed the capacity of the token buckets.
    #[arg(long, visible_alias = "doubt", default_value_t = 0.3)]
    quota_tolerance: f64,
    /// Faults of the servers during the run.
    #[arg(long = "fault", visible_alias = "trouble", value_enum, default_value_t = FaultProfile::Mixed)]
    faults: FaultProfile,
    /// Path of the edge node's program; defaults to `edge-node` in the folder of this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Write the report to this file as JSON.
    #[arg(long)]
    pub(super) json: Option<PathBuf>,
}

impl Args {
    /// Returns the scenario that the arguments describe, or the reason why they are invalid.
    pub(super) fn scenario(&self) -> Result<Scenario, String> {
        self.validate()?;
        Ok(Scenario::new(ScenarioSize {
            nodes: self.nodes(),
            fleet_size: self.fleet_size(),
            rate_per_node: self.rate,
            quota_tolerance: self.quota_tolerance,
        }))
    }

    /// Returns the number of nodes that run.
    fn nodes(&self) -> u32 {
        self.real + self.hollow
    }

    /// Returns the number of nodes in the settings.
    fn fleet_size(&self) -> u32 {
        self.fleet_size.unwrap_or(self.nodes())
    }

    fn validate(&self) -> Result<(), String> {
        validate_range("real", self.real, MAX_REAL_NODES)?;
        validate_range("hollow", self.hollow, MAX_HOLLOW_NODES)?;
        validate_range("seconds", self.seconds, MAX_SECONDS)?;
        let (nodes, fleet_size) = (self.nodes(), self.fleet_size());
        if !(nodes..=MAX_FLEET_SIZE).contains(&fleet_size) {
            return Err(format!(
                "--fleet-size {fleet_size}: must be from {nodes}, the number of nodes that run, to {MAX_FLEET_SIZE}"
            ));
        }
        if !(self.rate > 0.0 && self.rate * f64::from(nodes) <= MAX_RATE) {
            return Err(format!(
                "--rate {}: must be greater than 0, and at most {MAX_RATE} over all nodes together",
                self.rate
            ));
        }
        if !(self.within >= 1.0 && self.within.is_finite()) {
            return Err(format!(
                "--within {}: must be a finite number of at least 1",
                self.within
            ));
        }
        if !(0.0..=1.0).contains(&self.quota_tolerance) {
            return Err(format!(
                "--quota-tolerance {}: must be from 0 to 1",
                self.quota_tolerance
            ));
        }
        Ok(())
    }

    /// Returns the path of the edge node's program, or an error message if there is no such file.
    pub(super) fn program(&self) -> Result<PathBuf, String> {
        edge_node_process::find_program(self.program.as_deref())
    }

    pub(super) fn load(&self) -> LoadConfig {
        LoadConfig {
            seconds: f64::from(self.seconds),
            seed: self.seed,
            faults: self.faults,
        }
    }
}

fn validate_range(name: &str, value: u32, max: u32) -> Result<(), String> {
    if !(1..=max).contains(&value) {
        return Err(format!("--{name} {value}: must be from 1 to {max}"));
    }
    Ok(())
}
