//! The environment variables that name the configuration file and override its values.

use super::error::ConfigError;
use super::Config;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The environment variable that names the configuration file.
pub const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// The environment variable that overrides `name`.
const NAME_VARIABLE: &str = "LB_NAME";
/// The environment variable that overrides `listen`.
const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// The environment variable that overrides `discovery`.
const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";

impl Config {
    /// Reads the configuration file at `path`, or at the value of `LB_CONFIG` if `path` is `None`.
    /// `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` override values of the file. `variable` looks up
    /// an environment variable.
    ///
    /// # Errors
    /// Returns an error if no file is named, if the file can't be read or is invalid, or if a
    /// variable that overrides an address is not an IP address with a port.
    pub fn from_environment(
        path: Option<PathBuf>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let path = path.or_else(|| variable(CONFIG_VARIABLE).map(PathBuf::from));
        let path = path.ok_or(ConfigError::MissingPath)?;
        let mut config = Config::read(&path)?;
        if let Some(name) = variable(NAME_VARIABLE) {
            config.name = name;
        }
        if let Some(text) = variable(LISTEN_VARIABLE) {
            config.listen = parse_address(LISTEN_VARIABLE, text)?;
        }
        if let Some(text) = variable(DISCOVERY_VARIABLE) {
            config.discovery = parse_address(DISCOVERY_VARIABLE, text)?;
        }
        Ok(config)
    }
}

fn parse_address(variable: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|source| ConfigError::InvalidAddress {
        variable,
        value,
        source,
    })
}
