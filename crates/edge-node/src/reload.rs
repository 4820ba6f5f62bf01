//! Configuration reload on SIGHUP. A configuration file with an error is not applied at all.

use crate::config::schema::RestartValues;
use crate::config::Config;
use crate::log::Log;
use anyhow::Result;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::{error, info};

/// Reloads the configuration on SIGHUP. Only the address of discovery and the log level can change
/// while the process runs; the names of other keys whose values differ are logged.
pub(crate) struct Reload {
    /// Path of the configuration file.
    pub(crate) path: PathBuf,
    /// Values that the keys which require a restart had at the start of the process.
    pub(crate) startup_values: RestartValues,
    /// Passes the address of discovery to the task that watches it.
    pub(crate) discovery_address: watch::Sender<SocketAddr>,
    /// Log whose level a reload sets.
    pub(crate) log: Log,
}

impl Reload {
    /// Reloads the configuration on each SIGHUP, until the process ends. The future awaits only the
    /// next signal, so dropping it never interrupts a reload.
    pub(crate) async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read_and_set_log_level() {
                Ok(config) => self.apply(&config),
                Err(error) => log_rejected(&error),
            }
        }
    }

    /// Reads the file and sets the log level. These are the only steps of a reload that can fail.
    fn read_and_set_log_level(&self) -> Result<Config> {
        let config = Config::read(&self.path)?;
        self.log.set_level(config.operator_options.log.level)?;
        Ok(config)
    }

    fn apply(&self, config: &Config) {
        let address = config.discovery;
        // The address is sent even if it is unchanged, which opens a new watch: discovery may have
        // restarted and be numbering its lists from the beginning.
        self.discovery_address.send_replace(address);
        let level = config.operator_options.log.level;
        let waits = self
            .startup_values
            .changed_keys(&config.restart_values)
            .join(", ");
        let waits_prefix = if waits.is_empty() {
            ""
        } else {
            "; restart required for: "
        };
        info!(
            event = "config_reloaded",
            discovery = %address,
            log_level = %level,
            waits,
            "configuration reloaded: log level {level}, discovery at {address}{waits_prefix}{waits}"
        );
    }
}

fn log_rejected(error: &anyhow::Error) {
    error!(
        event = "config_rejected",
        cause = %format_args!("{error:#}"),
        "configuration rejected, the current one stays in effect: {error:#}"
    );
}
