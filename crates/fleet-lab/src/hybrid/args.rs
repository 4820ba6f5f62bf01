//! The arguments of the command, and what they describe.

use super::load::LoadConfig;
use super::scenario::{Scenario, ScenarioSize};
use super::server_faults::FaultProfile;
use std::path::PathBuf;

/// Maximum number of requests a second, over all nodes: all share one processor here.
const MAX_RATE: f64 = 5000.0;
/// Maximum number of real nodes.
const MAX_REAL_NODES: u32 = 4;
/// Maximum number of hollow nodes.
const MAX_HOLLOW_NODES: u32 = 100;
/// Maximum time in which clients arrive, s.
const MAX_SECONDS: u32 = 120;
/// Maximum number of nodes in the settings.
const MAX_FLEET_SIZE: u32 = 1000;

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Real nodes, 1 to 4.
    #[arg(long, default_value_t = 2)]
    pub(super) real: u32,
    /// Hollow nodes, 1 to 100.
    #[arg(long, default_value_t = 10)]
    hollow: u32,
    /// Time in which clients arrive, in seconds, 1 to 120.
    #[arg(long, default_value_t = 10)]
    pub(super) seconds: u32,
    /// Requests a second at each node, on average.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Number of nodes in the settings, 1000 at most; those that do not run are silent. By default all run.
    #[arg(long)]
    fleet_size: Option<u32>,
    /// The factor within which real and hollow nodes have to agree, beyond what chance explains.
    #[arg(long, default_value_t = 2.0)]
    pub(super) within: f64,
    /// The share of a quota that may be used on top of it in the long run: a standby owner's part in a large fleet, and
    /// in a small one what nodes forget of debts deeper than their token buckets.
    #[arg(long, visible_alias = "doubt", default_value_t = 0.3)]
    quota_tolerance: f64,
    /// The faults of the servers.
    #[arg(long = "fault", visible_alias = "trouble", value_enum, default_value_t = FaultProfile::Mixed)]
    faults: FaultProfile,
    /// The edge node's program; by default the one in the folder of this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Write the figures to this file as JSON.
    #[arg(long)]
    pub(super) json: Option<PathBuf>,
}

impl Args {
    /// The scenario that these describe, or why they describe none.
    pub(super) fn scenario(&self) -> Result<Scenario, String> {
        self.validate()?;
        Ok(Scenario::new(ScenarioSize {
            nodes: self.nodes(),
            fleet_size: self.fleet_size(),
            rate_per_node: self.rate,
            quota_tolerance: self.quota_tolerance,
        }))
    }

    /// Nodes that run.
    fn nodes(&self) -> u32 {
        self.real + self.hollow
    }

    /// Nodes in the settings.
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
                "--fleet-size {fleet_size}: it has to be from {nodes}, the nodes there are, to {MAX_FLEET_SIZE}"
            ));
        }
        if !(self.rate > 0.0 && self.rate * f64::from(nodes) <= MAX_RATE) {
            return Err(format!(
                "--rate {}: it has to be above 0, and {MAX_RATE} over all nodes at most",
                self.rate
            ));
        }
        if !(self.within >= 1.0 && self.within.is_finite()) {
            return Err(format!("--within {}: a factor is 1 or more", self.within));
        }
        if !(0.0..=1.0).contains(&self.quota_tolerance) {
            return Err(format!(
                "--quota-tolerance {}: a share is from 0 to 1",
                self.quota_tolerance
            ));
        }
        Ok(())
    }

    /// The edge node's program, or why there is none.
    pub(super) fn program(&self) -> Result<PathBuf, String> {
        let in_own_folder = || Some(std::env::current_exe().ok()?.parent()?.join("edge-node"));
        let program = self
            .program
            .clone()
            .or_else(in_own_folder)
            .unwrap_or_default();
        if !program.is_file() {
            return Err(format!(
                "no program at {}: `cargo build --release` builds it",
                program.display()
            ));
        }
        Ok(program)
    }

    /// The load of the run.
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
        return Err(format!("--{name} {value}: it has to be from 1 to {max}"));
    }
    Ok(())
}
