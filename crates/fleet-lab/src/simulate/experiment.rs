//! The definition of an experiment, derived from the arguments.

use super::fault::Fault;
use super::fault_schedule::FaultSchedule;
use super::fault_scheduler::FaultScheduler;
use crate::time::MICROSECOND;
use crate::world::machine::Machine;
use crate::world::{random_stream, Rng};
use crate::Failure;
use gateway_core::settings::{self, ResolvedSettings};
use gateway_core::DurationExt;
use gateway_core::{CellId, Endpoint, EndpointState, ServerId, Settings, Timestamp, ZoneId};
use rand::Rng as _;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

/// Settings of an experiment whose configuration contains no settings: two classes, and three
/// plans, one of which has a hard limit.
const DEFAULT_SETTINGS: &str = include_str!("settings.json");
/// Maximum number of gateways, which have two-byte numbers in messages.
const MAX_GATEWAYS: u32 = 65_535;
/// Maximum number of servers.
const MAX_SERVERS: u32 = 100_000;
/// Maximum time in which clients send new requests, in seconds.
const MAX_SECONDS: u32 = 3_600;
/// Maximum demand within the quotas, as a fraction of the servers' capacity.
const MAX_LOAD: f64 = 2.0;
/// Minimum latency objective of a class.
const MIN_LATENCY_OBJECTIVE: Duration = Duration::from_millis(1);
/// Mean work of a request, as a fraction of the shortest latency objective.
const MEAN_WORK_RATIO: f64 = 0.119;
/// Maximum deviation of the work of a request from the mean, as a fraction of the mean.
const WORK_DEVIATION_RATIO: f64 = 0.26;
/// Interval at which a server measures the load that it reports.
const LOAD_REPORT_INTERVAL: Range<Duration> =
    Duration::from_millis(110)..Duration::from_millis(540);
/// Number of the random stream that draws server ids.
const ENDPOINT_STREAM: u64 = 16;
/// Number of the random stream that draws the fault schedule.
const FAULT_STREAM: u64 = 17;

/// Parameters of an experiment, as given by its caller.
#[derive(Clone, Debug)]
pub struct ExperimentConfig {
    /// Number of gateways, from 1 to 65,535. It replaces the number in the settings.
    pub nodes: u32,
    /// Number of servers at the start; `None` for two for every three gateways.
    pub servers: Option<u32>,
    /// Time in which clients send new requests, in seconds.
    pub seconds: u32,
    /// Seed of all random draws.
    pub seed: u64,
    /// Demand within the quotas, as a fraction of the servers' capacity.
    pub load: f64,
    /// Names of the faults to inject, as on the command line.
    pub faults: Vec<String>,
    /// Text of a settings file; `None` for the default settings.
    pub settings: Option<String>,
}

impl ExperimentConfig {
    fn validate(&self, server_count: u32) -> Result<(), Failure> {
        validate_range("nodes", self.nodes, MAX_GATEWAYS)?;
        validate_range("servers", server_count, MAX_SERVERS)?;
        validate_range("seconds", self.seconds, MAX_SECONDS)?;
        if !(self.load > 0.0 && self.load <= MAX_LOAD) {
            return invalid_arguments(format!(
                "load must be above 0 and at most {MAX_LOAD}, not {}",
                self.load
            ));
        }
        Ok(())
    }

    fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds.into())
    }
}

/// A validated experiment that is ready to be simulated.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Seed of all random draws.
    pub seed: u64,
    /// Time in which clients send new requests.
    pub duration: Duration,
    /// Settings of gateway 0; the other gateways differ only in id and zone.
    pub resolved: ResolvedSettings,
    /// Number of zones; 1 if the settings name none.
    pub zones: u32,
    /// Endpoints of the servers at the start.
    pub servers: Vec<Endpoint>,
    /// Hardware of the servers.
    pub machine: Machine,
    /// Requests per second within the quotas.
    pub rate: f64,
    /// Names of the faults, as on the command line.
    pub fault_names: Vec<String>,
    /// All faults with their times, drawn from the seed.
    pub faults: FaultSchedule,
}

impl Experiment {
    /// Derives an experiment from its parameters.
    ///
    /// # Errors
    /// [`Failure::InvalidArguments`] with a one-line description of the parameter that is invalid.
    pub fn new(config: &ExperimentConfig) -> Result<Experiment, Failure> {
        let server_count = config
            .servers
            .unwrap_or_else(|| default_servers(config.nodes));
        config.validate(server_count)?;
        let settings = config.settings.as_deref().unwrap_or(DEFAULT_SETTINGS);
        let resolved = parse_settings(settings, config.nodes)?;
        let zones = resolved.zone_names.len().max(1) as u32;
        let faults = parse_faults(&config.faults, zones)?;
        let mut endpoints = EndpointFactory::new(config.seed, zones);
        let servers: Vec<Endpoint> = (0..server_count)
            .map(|number| endpoints.draw(number, None))
            .collect();
        let machine = machine_for(&resolved.settings);
        Ok(Experiment {
            seed: config.seed,
            duration: config.duration(),
            zones,
            rate: config.load * f64::from(server_count) * machine.capacity(),
            faults: draw_schedule(config, &faults, &servers, endpoints),
            servers,
            machine,
            resolved,
            fault_names: config.faults.clone(),
        })
    }

    /// Returns the number of gateways, whether they are up or down.
    pub fn gateway_count(&self) -> u32 {
        self.resolved.settings.gateway_count
    }
}

fn invalid_arguments<T>(problem: impl Into<String>) -> Result<T, Failure> {
    Err(Failure::InvalidArguments(problem.into()))
}

/// Returns the default number of servers: two for every three gateways, but at least two.
fn default_servers(gateways: u32) -> u32 {
    (u64::from(gateways) * 2).div_ceil(3).max(2) as u32
}

fn validate_range(name: &str, value: u32, max: u32) -> Result<(), Failure> {
    if !(1..=max).contains(&value) {
        return invalid_arguments(format!("{name} must be from 1 to {max}, not {value}"));
    }
    Ok(())
}

/// Parses settings and sets their number of gateways.
fn parse_settings(text: &str, gateways: u32) -> Result<ResolvedSettings, Failure> {
    let mut json: serde_json::Value = match serde_json::from_str(text) {
        Ok(json) => json,
        Err(error) => return invalid_arguments(format!("settings: {error}")),
    };
    if !json.is_object() {
        return invalid_arguments("settings: must be a JSON object");
    }
    json["balancers"] = gateways.into();
    json["me"] = 0.into();
    let resolved = match settings::parse(&json.to_string()) {
        Ok(resolved) => resolved,
        Err(error) => return invalid_arguments(format!("settings: {error}")),
    };
    if let Err(error) = resolved.settings.validate() {
        return invalid_arguments(format!("settings: {error}"));
    }
    let mut classes = resolved.settings.classes.iter();
    let is_too_short = classes.any(|class| class.latency_objective < MIN_LATENCY_OBJECTIVE);
    if resolved.longest_deadline.is_zero() || is_too_short {
        return invalid_arguments(
            "settings: each class needs an aimUs of at least 1 ms, and one class a deadlineUs",
        );
    }
    Ok(resolved)
}

fn parse_faults(names: &[String], zones: u32) -> Result<BTreeSet<Fault>, Failure> {
    let mut faults = BTreeSet::new();
    for name in names {
        if !faults.insert(Fault::parse(name)?) {
            return invalid_arguments(format!("duplicate fault {name}"));
        }
    }
    if faults.len() > 1 && faults.contains(&Fault::Calm) {
        return invalid_arguments("calm cannot be combined with other faults");
    }
    if faults.contains(&Fault::Partition) && zones < 2 {
        return invalid_arguments("cut requires settings with at least two zones");
    }
    Ok(faults)
}

/// Draws the times of all faults.
fn draw_schedule(
    config: &ExperimentConfig,
    faults: &BTreeSet<Fault>,
    servers: &[Endpoint],
    mut endpoints: EndpointFactory,
) -> FaultSchedule {
    let mut rng = random_stream(config.seed, FAULT_STREAM);
    let zones = endpoints.zones;
    let mut new_endpoint = |zone, started_at| endpoints.draw(zone, started_at);
    let scheduler = FaultScheduler::new(
        &mut rng,
        config.duration(),
        config.nodes,
        zones,
        servers,
        &mut new_endpoint,
    );
    scheduler.schedule(faults)
}

/// Draws endpoints with unique server ids.
struct EndpointFactory {
    rng: Rng,
    used_ids: BTreeSet<u64>,
    zones: u32,
}

impl EndpointFactory {
    fn new(seed: u64, zones: u32) -> EndpointFactory {
        EndpointFactory {
            rng: random_stream(seed, ENDPOINT_STREAM),
            used_ids: BTreeSet::new(),
            zones,
        }
    }

    /// Draws a ready endpoint in the zone with the number `zone` modulo the number of zones.
    /// `started_at` is `None` for a warm server.
    fn draw(&mut self, zone: u32, started_at: Option<Timestamp>) -> Endpoint {
        let zone = zone % self.zones;
        let mut id = self.rng.random_range(1..1 << 32);
        while !self.used_ids.insert(id) {
            id = self.rng.random_range(1..1 << 32);
        }
        Endpoint {
            server: ServerId(id),
            zone: ZoneId(zone),
            cell: CellId(u64::from(zone)),
            state: EndpointState::Ready,
            weight: 1.0,
            started_at,
        }
    }
}

/// Returns the hardware of the servers, whose speed follows from the shortest latency objective.
fn machine_for(settings: &Settings) -> Machine {
    let objectives = settings.classes.iter().map(|class| class.latency_objective);
    let shortest = objectives.min().unwrap_or(MICROSECOND);
    let mean_work_us = shortest.as_micros_f64() * MEAN_WORK_RATIO;
    let min_work = Duration::from_micros_f64(mean_work_us * (1.0 - WORK_DEVIATION_RATIO));
    let max_work = Duration::from_micros_f64(mean_work_us * (1.0 + WORK_DEVIATION_RATIO));
    Machine {
        cores: 4,
        slots: 64,
        work: min_work..max_work + MICROSECOND,
        report_interval: LOAD_REPORT_INTERVAL,
    }
}
