//! Reload on SIGHUP: the configuration is read again and applied completely or not at all.

use crate::config::schema::RestartValues;
use crate::config::Config;
use crate::log::Log;
use anyhow::Result;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::{error, info};

/// What a reload reads and changes. Only discovery's address and the log level change while the
/// process runs; of other keys that differ, the names are logged.
pub(crate) struct Reload {
    /// The configuration file.
    pub(crate) path: PathBuf,
    /// The values that the process was started with.
    pub(crate) started_with: RestartValues,
    /// Receives the address of discovery.
    pub(crate) discovery: watch::Sender<SocketAddr>,
    /// Receives the log level.
    pub(crate) log: Log,
}

impl Reload {
    /// Reloads on each SIGHUP, until the process ends. It waits only between reloads: none is cut
    /// short.
    pub(crate) async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read_and_set_log_level() {
                Ok(config) => self.apply(&config),
                Err(error) => log_rejected(&error),
            }
        }
    }

    /// Reads the file and changes the log level, which is the last step that may fail.
    fn read_and_set_log_level(&self) -> Result<Config> {
        let config = Config::read(&self.path)?;
        self.log.set_level(config.operator_options.log.level)?;
        Ok(config)
    }

    fn apply(&self, config: &Config) {
        let address = config.discovery;
        // Also sent if the address is the same: discovery may have restarted and count its lists
        // anew.
        self.discovery.send_replace(address);
        let level = config.operator_options.log.level;
        let waits = self
            .started_with
            .changed_keys(&config.restart_values)
            .join(", ");
        let waiting = if waits.is_empty() {
            ""
        } else {
            "; waiting for a restart: "
        };
        info!(
            event = "config_reloaded",
            discovery = %address,
            log_level = %level,
            waits,
            "reloaded: log level {level}, discovery at {address}{waiting}{waits}"
        );
    }
}

fn log_rejected(error: &anyhow::Error) {
    error!(
        event = "config_rejected",
        cause = %format_args!("{error:#}"),
        "the old configuration stays: {error:#}"
    );
}
