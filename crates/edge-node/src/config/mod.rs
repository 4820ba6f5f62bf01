//! The configuration of the edge node: typed values from a configuration file and from environment
//! variables.
//!
//! A file is in operators' TOML or in the platform's JSON. TOML is parsed into a tree, validated,
//! and translated to the platform's JSON, so that the same code reads both formats.

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

/// The complete configuration of an edge node.
pub struct Config {
    /// Path of the configuration file, which is read again at a reload.
    pub path: PathBuf,
    /// Name of the edge node in its log.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address on which the discovery agent listens.
    pub discovery: SocketAddr,
    /// Seed of all random decisions; random if the file gives none.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub max_file_descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub max_memory: usize,
    /// Addresses of messages between edge nodes; `None` if this edge node exchanges no messages.
    pub peers: Option<PeerAddresses>,
    /// The endpoint list that the platform knew when it wrote the file, which may be outdated;
    /// `None` if the file has none.
    pub initial_endpoints: Option<EndpointList>,
    /// Settings of the gateway, and the names and timeouts that only the edge node uses.
    pub settings: ResolvedSettings,
    /// Options that only operators' TOML has.
    pub operator_options: OperatorOptions,
    /// Values of the keys that require a restart, to find changed ones at a reload.
    pub restart_values: RestartValues,
}

/// Options that only operators' TOML has keys for. They have their defaults if the file is in the
/// platform's JSON.
#[derive(Deserialize, Default)]
pub struct OperatorOptions {
    /// Level and format of the log.
    pub log: LogOptions,
    /// Options of the admin listener. Without them no admin listener is started.
    #[serde(default)]
    pub admin: AdminOptions,
}

/// Options of the admin listener, which serves operators and their monitoring.
#[derive(Deserialize, Default)]
pub struct AdminOptions {
    /// Address on which operators and their monitoring connect; `None` for no admin listener.
    pub listen: Option<SocketAddr>,
}

/// Addresses of the messages between edge nodes.
pub struct PeerAddresses {
    /// Address on which this edge node receives messages.
    pub listen: SocketAddr,
    /// Address of each edge node in the order of their numbers, including this edge node.
    pub addresses: Vec<SocketAddr>,
    /// Broadcast address that reaches all edge nodes; `None` if each is sent its own datagram.
    pub broadcast: Option<SocketAddr>,
}

impl Config {
    /// Reads a configuration file, and ignores the environment.
    ///
    /// # Errors
    /// Returns [`ConfigError::Unreadable`] if the file can't be read, and [`ConfigError::Invalid`]
    /// if its content is invalid.
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

/// Reads a configuration from operators' TOML, which is validated before it is translated.
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

/// Reads a configuration from the platform's JSON. The file is valid if it can be read. Since
/// reading stops at the first error, a file that can't be read is also validated, which reports
/// every error.
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
