//! The environment variables: which file to read, and what overrides its values.

use super::error::ConfigError;
use super::Config;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The environment variable that names the configuration file.
pub const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// Overrides `name`.
const NAME_VARIABLE: &str = "LB_NAME";
/// Overrides `listen`.
const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// Overrides `discovery`.
const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";

impl Config {
    /// Reads the file that the command line, or else `LB_CONFIG`, names; the other variables
    /// override its values. `variable` looks up an environment variable.
    ///
    /// # Errors
    /// No file is named, it can't be used, or a variable holds no address where it should.
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
