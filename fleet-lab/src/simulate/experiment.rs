//! What is to be played, worked out of the arguments.

use super::faults::{self, Timeline, Trouble};
use crate::world::servers::Machine;
use crate::world::{micros, stream};
use crate::Failure;
use edge_node::settings::{self, ResolvedSettings};
use edge_node::{CellId, Endpoint, EndpointState, Micros, ServerId, Settings, ZoneId};
use rand::Rng as _;
use std::collections::BTreeSet;

/// Settings for a play that is given none: two classes, three plans of which one has a ceiling.
const SETTINGS: &str = include_str!("settings.json");
/// Most gateways: their numbers take two bytes in messages.
const MOST_NODES: u32 = 65_535;
const MOST_SERVERS: u32 = 100_000;
const MOST_SECONDS: u32 = 3_600;
/// Mean work of a request, as a share of the shortest aim, and how far single ones lie around it.
const WORK: (f64, f64) = (0.119, 0.26);

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Gateways.
    pub nodes: u32,
    /// Servers at the start; `None` for two for every three gateways.
    pub servers: Option<u32>,
    /// Seconds in which clients come.
    pub seconds: u32,
    /// What fixes all chance.
    pub seed: u64,
    /// What is asked for inside the quotas, as a share of what the servers can do.
    pub load: f64,
    /// Names of troubles.
    pub troubles: Vec<String>,
    /// The text of a settings file, if there is one.
    pub settings: Option<String>,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// What fixes all chance.
    pub seed: u64,
    /// Span in which clients come, µs.
    pub span: Micros,
    /// The settings, as the first gateway has them.
    pub named: ResolvedSettings,
    /// Zones; one if the settings name none.
    pub zones: u32,
    /// The servers at the start.
    pub servers: Vec<Endpoint>,
    /// What kind of machine they are.
    pub machine: Machine,
    /// Requests a second inside the quotas.
    pub rate: f64,
    /// Names of the troubles, as asked for.
    pub troubles: Vec<String>,
    /// What they come to.
    pub timeline: Timeline,
}

fn senseless<T>(why: impl Into<String>) -> Result<T, Failure> {
    Err(Failure::Senseless(why.into()))
}

fn within(name: &str, value: u32, most: u32) -> Result<(), Failure> {
    match (1..=most).contains(&value) {
        true => Ok(()),
        false => senseless(format!("{name} must be from 1 to {most}, not {value}")),
    }
}

/// Reads settings for so many gateways.
fn settings(text: &str, nodes: u32) -> Result<ResolvedSettings, Failure> {
    let whole: Result<serde_json::Value, _> = serde_json::from_str(text);
    let mut whole = match whole {
        Ok(whole) if whole.is_object() => whole,
        Ok(_) => return senseless("settings: not a JSON object"),
        Err(error) => return senseless(format!("settings: {error}")),
    };
    whole["balancers"] = nodes.into();
    whole["me"] = 0.into();
    let named = match settings::parse(&whole.to_string()) {
        Ok(named) => named,
        Err(what) => return senseless(format!("settings: {what}")),
    };
    if let Err(error) = named.settings.validate() {
        return senseless(format!("settings: {error}"));
    }
    if named.longest_deadline == 0
        || named.settings.classes.iter().any(|class| class.latency_objective < 1_000)
    {
        return senseless("settings: each class needs an aim of 1 ms or more, and one of them a deadline");
    }
    Ok(named)
}

impl Experiment {
    /// Works out what is to be played.
    ///
    /// # Errors
    /// What makes no sense about it, in a line.
    pub fn new(asked: &Asked) -> Result<Experiment, Failure> {
        let servers = asked.servers.unwrap_or((asked.nodes as u64 * 2).div_ceil(3).max(2) as u32);
        within("nodes", asked.nodes, MOST_NODES)?;
        within("servers", servers, MOST_SERVERS)?;
        within("seconds", asked.seconds, MOST_SECONDS)?;
        if !(asked.load > 0.0 && asked.load <= 2.0) {
            return senseless(format!("load must be above 0 and at most 2, not {}", asked.load));
        }
        let named = settings(asked.settings.as_deref().unwrap_or(SETTINGS), asked.nodes)?;
        let mut chosen = BTreeSet::new();
        for name in &asked.troubles {
            let trouble = Trouble::named(name)?;
            if !chosen.insert(trouble) {
                return senseless(format!("trouble {name} is named twice"));
            }
        }
        if chosen.len() > 1 && chosen.contains(&Trouble::Calm) {
            return senseless("calm goes with no other trouble");
        }
        let zones = named.zone_names.len().max(1) as u32;
        if chosen.contains(&Trouble::Cut) && zones < 2 {
            return senseless("a cut needs settings with two zones or more");
        }
        let machine = machine(&named.settings);
        let mut rng = stream(asked.seed, faults::STREAM);
        let mut taken = BTreeSet::new();
        let mut entry = |zone: u32, started: Option<Micros>| {
            // Ids tell nothing, and no two are alike.
            let id = std::iter::repeat_with(|| rng.random_range(1..1 << 32)).find(|id| taken.insert(*id));
            Endpoint {
                server: ServerId(id.unwrap_or_default()),
                zone: ZoneId(zone % zones),
                cell: CellId(u64::from(zone % zones)),
                state: EndpointState::Ready,
                weight: 1.0,
                started_at: started,
            }
        };
        let list: Vec<Endpoint> = (0..servers).map(|number| entry(number, None)).collect();
        let span = micros(f64::from(asked.seconds));
        let mut draw = stream(asked.seed, faults::STREAM + 1);
        let timeline = Timeline::new(&mut draw, &chosen, span, asked.nodes, zones, &list, &mut entry);
        Ok(Experiment {
            seed: asked.seed,
            span,
            zones,
            rate: asked.load * f64::from(servers) * machine.capacity(),
            servers: list,
            machine,
            named,
            troubles: asked.troubles.clone(),
            timeline,
        })
    }

    /// Gateways.
    pub fn nodes(&self) -> u32 {
        self.named.settings.gateway_count
    }
}

/// The servers' kind, for settings of any pace.
fn machine(settings: &Settings) -> Machine {
    let aim = settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or(1) as f64;
    let (mean, around) = WORK;
    let work = (aim * mean * (1.0 - around)) as Micros..(aim * mean * (1.0 + around)) as Micros + 1;
    Machine { cores: 4, slots: 64, work, refresh: 110_000..540_000 }
}
