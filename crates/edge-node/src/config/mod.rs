//! The configuration: a file in operators' TOML or the platform's JSON, and the environment, as
//! typed values.
//!
//! The platform's JSON is read as it is. TOML is parsed into a tree, validated, and translated to
//! the platform's JSON, so that both formats go through the same code from there on.

mod environment;
mod error;
pub mod file;
mod platform;
pub mod schema;

pub use environment::CONFIG_VARIABLE;
pub use error::{ConfigError, Diagnostic, InvalidConfig};

use crate::endpoint_list::EndpointList;
use crate::log::LogOptions;
use file::ConfigFormat;
use gateway_core::settings::ResolvedSettings;
use schema::RestartValues;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Everything that the edge node is configured with.
pub struct Config {
    /// The file that it was read from, to be read again at a reload.
    pub path: PathBuf,
    /// The edge node's name in its log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the discovery agent listens.
    pub discovery: SocketAddr,
    /// The seed of all random decisions.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_file_descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub max_memory: usize,
    /// Where messages between edge nodes arrive and go, if there are any.
    pub peers: Option<PeerAddresses>,
    /// The endpoint list as the platform last held it, which may be outdated.
    pub initial_endpoints: Option<EndpointList>,
    /// The settings of the decision library.
    pub settings: ResolvedSettings,
    /// What only operators' files can configure.
    pub operator_options: OperatorOptions,
    /// The values that can't change without a restart.
    pub restart_values: RestartValues,
}

/// What only operators' files have keys for. Under the platform's JSON these are the defaults.
#[derive(Deserialize, Default)]
pub struct OperatorOptions {
    /// The log.
    pub log: LogOptions,
    /// The admin listener.
    #[serde(default)]
    pub admin: AdminOptions,
}

/// The admin listener.
#[derive(Deserialize, Default)]
pub struct AdminOptions {
    /// Where operators and their monitoring connect; `None` for no admin listener.
    pub listen: Option<SocketAddr>,
}

/// Where messages between edge nodes arrive and go.
pub struct PeerAddresses {
    /// Where messages arrive.
    pub listen: SocketAddr,
    /// The address of each edge node in the order of their numbers, this one's among them.
    pub addresses: Vec<SocketAddr>,
    /// An address that reaches all of them, if there is one.
    pub broadcast: Option<SocketAddr>,
}

impl Config {
    /// Reads a file, without the environment.
    ///
    /// # Errors
    /// [`ConfigError::Unreadable`] if the file can't be read, [`ConfigError::Invalid`] if something
    /// in it is wrong.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        let config = match ConfigFormat::detect(path, &text) {
            ConfigFormat::Toml => read_toml(path, &text),
            ConfigFormat::PlatformJson => read_platform_json(path, &text),
        };
        config.map_err(|diagnostics| {
            InvalidConfig {
                path: path.to_owned(),
                diagnostics,
            }
            .into()
        })
    }
}

/// Reads an operator's file, which has to pass validation first.
fn read_toml(path: &Path, text: &str) -> Result<Config, Vec<Diagnostic>> {
    let root = file::parse(ConfigFormat::Toml, text)?;
    let diagnostics = schema::validate(ConfigFormat::Toml, &root);
    if !diagnostics.is_empty() {
        return Err(diagnostics);
    }
    let json = schema::to_platform_json(&root).to_string();
    platform::read(path, ConfigFormat::Toml, &json)
        .map_err(|error| vec![Diagnostic::from_error(&error)])
}

/// Reads a file of the platform. Whether it is accepted is decided by reading it; validation then
/// finds all that is wrong with one that was refused, where reading stops at the first error.
fn read_platform_json(path: &Path, text: &str) -> Result<Config, Vec<Diagnostic>> {
    platform::read(path, ConfigFormat::PlatformJson, text).map_err(|error| {
        let diagnostics = match file::parse(ConfigFormat::PlatformJson, text) {
            Ok(root) => schema::validate(ConfigFormat::PlatformJson, &root),
            Err(diagnostics) => diagnostics,
        };
        if diagnostics.is_empty() {
            vec![Diagnostic::from_error(&error)]
        } else {
            diagnostics
        }
    })
}
