//! What the edge node is told at its start: `LB_*` and a configuration, the platform's or people's, as typed values.

use crate::document::{self, Fault, Form};
use crate::endpoint_list::EndpointList;
use crate::log;
use crate::schema::{self, Values};
use anyhow::{ensure, Context, Result};
use edge_node::settings::{self, ResolvedSettings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// All that the edge node is told.
pub struct Config {
    /// The file that it was read from, to be read again.
    pub path: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may use.
    pub memory: usize,
    pub peers: Option<PeerAddresses>,
    /// The list of app servers as it was last held. It may be old.
    pub(crate) known: Option<EndpointList>,
    pub named: ResolvedSettings,
    pub shell: Shell,
    /// What it was told under each key that waits for a restart.
    pub values: Values,
}

/// What only people's form has a place for; the platform's gets what stands for nothing.
#[derive(Deserialize, Default)]
pub struct Shell {
    pub log: log::Options,
    #[serde(default)]
    pub admin: AdminAddress,
}

/// Where operators connect, if they may.
#[derive(Deserialize, Default)]
pub struct AdminAddress {
    pub listen: Option<SocketAddr>,
}

/// A configuration that can't be used: all that is wrong with it, at the least one fault.
#[derive(Debug)]
pub struct Faulty {
    pub path: PathBuf,
    pub faults: Vec<Fault>,
}

impl Faulty {
    /// Each fault in a line.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.faults.iter().map(|fault| {
            let mark = if fault.line.is_some() { "" } else { " " };
            format!("{}:{mark}{fault}", self.path.display())
        })
    }
}

/// One line, whatever is wrong.
impl fmt::Display for Faulty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.lines().next().unwrap_or_default();
        f.write_str(&first)?;
        match self.faults.len().saturating_sub(1) {
            0 => Ok(()),
            more => write!(f, " (and {more} more, which `check` tells)"),
        }
    }
}

impl std::error::Error for Faulty {}

/// Where datagrams arrive and go. Peers stand in the order of their numbers, this node among them.
pub struct PeerAddresses {
    pub listen: SocketAddr,
    pub each: Vec<SocketAddr>,
    pub all: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<EndpointList>,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default = "few_sockets")]
    sockets: usize,
    #[serde(default = "little_memory")]
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: few_sockets(), memory_mb: little_memory() }
    }
}

fn few_sockets() -> usize {
    1024
}

fn little_memory() -> usize {
    32
}

/// Fewer descriptors than this leave no room for clients beside app servers.
const FEWEST_SOCKETS: usize = 64;

impl Config {
    /// Reads the file that the command line or else `LB_CONFIG` names; the other variables overrule what it says.
    pub fn from_environment(
        path: Option<PathBuf>, variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config> {
        let path = path.or_else(|| variable("LB_CONFIG").map(PathBuf::from));
        let path = path.context("no configuration: LB_CONFIG is not set, and there is no --config")?;
        let mut config = Config::read(&path)?;
        if let Some(name) = variable("LB_NAME") {
            config.name = name;
        }
        for (key, address) in [("LB_LISTEN", &mut config.listen), ("LB_DISCOVERY", &mut config.discovery)] {
            if let Some(text) = variable(key) {
                *address = text.parse().with_context(|| format!("{key}: {text:?} is no address"))?;
            }
        }
        Ok(config)
    }

    /// Reads the file alone.
    ///
    /// # Errors
    /// [`Faulty`], unless the file can't be read at all.
    pub fn read(path: &Path) -> Result<Config> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let form = Form::of(path, &text);
        let read = match form {
            Form::Platform => Config::parse(path, form, &text).map_err(|error| explained(&text, &error)),
            Form::People => document::read(form, &text).and_then(|root| {
                let faults = schema::faults(form, &root);
                if !faults.is_empty() {
                    return Err(faults);
                }
                let text = schema::translated(&root).to_string();
                Config::parse(path, form, &text).map_err(|error| vec![plain(&error)])
            }),
        };
        read.map_err(|faults| Faulty { path: path.to_owned(), faults }.into())
    }

    /// Reads the platform's form, which people's is translated into.
    fn parse(path: &Path, form: Form, text: &str) -> Result<Config> {
        let file: File = serde_json::from_str(text)?;
        let named = settings::parse(file.settings.get()).context("settings")?;
        named.settings.validate().context("settings")?;
        ensure!(file.limits.sockets >= FEWEST_SOCKETS, "limits.sockets: {FEWEST_SOCKETS} are needed");
        let values = schema::values(form, &serde_json::from_str(text)?);
        let peers =
            file.peer_listen.map(|listen| PeerAddresses { listen, each: file.peers, all: file.peers_all });
        let seed = u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| fastrand::u64(..));
        let (name, listen, discovery) = (file.name, file.listen, file.discovery);
        let sockets = file.limits.sockets;
        let memory = file.limits.memory_mb.saturating_mul(1024 * 1024);
        let shell = match form {
            Form::People => serde_json::from_str(text)?,
            Form::Platform => Shell::default(),
        };
        let path = path.to_owned();
        let known = file.known;
        Ok(Config {
            path,
            name,
            listen,
            discovery,
            seed,
            sockets,
            memory,
            peers,
            known,
            named,
            shell,
            values,
        })
    }
}

/// All that is wrong with a configuration of the platform that was refused.
fn explained(text: &str, error: &anyhow::Error) -> Vec<Fault> {
    let faults = match document::read(Form::Platform, text) {
        Ok(root) => schema::faults(Form::Platform, &root),
        Err(faults) => faults,
    };
    // What refuses it has the last word on whether something is wrong.
    if faults.is_empty() {
        vec![plain(error)]
    } else {
        faults
    }
}

fn plain(error: &anyhow::Error) -> Fault {
    Fault { line: None, path: String::new(), what: format!("{error:#}") }
}
