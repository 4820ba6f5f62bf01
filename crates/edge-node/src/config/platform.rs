//! Reads the platform's JSON, to which operators' TOML is translated. Only this module maps the
//! names of the JSON, outside `settings`, to those used in the code.

use super::file::ConfigFormat;
use super::schema::{RestartValues, MIN_FILE_DESCRIPTORS};
use super::{Config, OperatorOptions, PeerAddresses};
use crate::endpoint_list::EndpointList;
use gateway_core::settings::{self, ParseError, ResolvedSettings, SettingsError};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// Maximum number of file descriptors of the process if the configuration sets none.
const DEFAULT_FILE_DESCRIPTORS: usize = 1024;
/// Memory that the process may use if the configuration does not limit it, in MiB.
const DEFAULT_MEMORY_MIB: usize = 32;
const BYTES_PER_MIB: usize = 1024 * 1024;
const SEED_RADIX: u32 = 16;

/// Why a text can't be read as a configuration.
#[derive(Debug, Error)]
pub(super) enum PlatformConfigError {
    /// The text is not valid JSON, or a key is missing or has a value of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The settings of the gateway can't be parsed.
    #[error("settings")]
    UnparsableSettings(#[source] ParseError),
    /// The settings of the gateway are incomplete, contradictory, or hold invalid numbers.
    #[error("settings")]
    InvalidSettings(#[source] SettingsError),
    /// The limit on file descriptors is below [`MIN_FILE_DESCRIPTORS`].
    #[error("limits.sockets: must be at least {MIN_FILE_DESCRIPTORS}")]
    TooFewFileDescriptors,
}

/// Reads a configuration from a text in the platform's JSON. `path` and `format` are those of the
/// file that the text was read or translated from.
///
/// # Errors
/// Returns the first problem that is found.
pub(super) fn read(
    path: &Path,
    format: ConfigFormat,
    text: &str,
) -> Result<Config, PlatformConfigError> {
    let json: JsonConfig = serde_json::from_str(text)?;
    let settings = read_settings(&json.settings)?;
    if json.limits.max_file_descriptors < MIN_FILE_DESCRIPTORS as usize {
        return Err(PlatformConfigError::TooFewFileDescriptors);
    }
    let restart_values = RestartValues::from_platform_json(format, &serde_json::from_str(text)?);
    let operator_options = match format {
        ConfigFormat::Toml => serde_json::from_str(text)?,
        ConfigFormat::PlatformJson => OperatorOptions::default(),
    };
    Ok(Config {
        path: path.to_owned(),
        seed: json.seed(),
        max_file_descriptors: json.limits.max_file_descriptors,
        max_memory: json.limits.max_memory_mib.saturating_mul(BYTES_PER_MIB),
        peers: json.peer_addresses(),
        name: json.name,
        listen: json.listen,
        discovery: json.discovery,
        initial_endpoints: json.initial_endpoints,
        settings,
        operator_options,
        restart_values,
    })
}

fn read_settings(json: &RawValue) -> Result<ResolvedSettings, PlatformConfigError> {
    let settings = settings::parse(json.get()).map_err(PlatformConfigError::UnparsableSettings)?;
    settings
        .settings
        .validate()
        .map_err(PlatformConfigError::InvalidSettings)?;
    Ok(settings)
}

#[derive(Deserialize)]
struct JsonConfig {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: JsonLimits,
    peer_listen: Option<SocketAddr>,
    #[serde(default, rename = "peers")]
    peer_addresses: Vec<SocketAddr>,
    #[serde(rename = "peers_all")]
    peer_broadcast: Option<SocketAddr>,
    #[serde(rename = "known")]
    initial_endpoints: Option<EndpointList>,
    settings: Box<RawValue>,
}

impl JsonConfig {
    /// Returns the seed, which is written in hexadecimal digits; a random number if the seed is
    /// absent or can't be parsed.
    fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, SEED_RADIX).unwrap_or_else(|_| fastrand::u64(..))
    }

    fn peer_addresses(&self) -> Option<PeerAddresses> {
        self.peer_listen.map(|listen| PeerAddresses {
            listen,
            addresses: self.peer_addresses.clone(),
            broadcast: self.peer_broadcast,
        })
    }
}

#[derive(Deserialize)]
struct JsonLimits {
    #[serde(default = "default_file_descriptors", rename = "sockets")]
    max_file_descriptors: usize,
    #[serde(default = "default_memory_mib", rename = "memory_mb")]
    max_memory_mib: usize,
}

impl Default for JsonLimits {
    fn default() -> Self {
        JsonLimits {
            max_file_descriptors: default_file_descriptors(),
            max_memory_mib: default_memory_mib(),
        }
    }
}

fn default_file_descriptors() -> usize {
    DEFAULT_FILE_DESCRIPTORS
}

fn default_memory_mib() -> usize {
    DEFAULT_MEMORY_MIB
}
