//! The edge node under test: a process, its configuration and its signals.

use super::records::{DEADLINE, DRAIN_GRACE};
use anyhow::{Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Environment variables that would override the configuration file.
const CONFIG_VARIABLES: [&str; 3] = ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"];
/// Time for which the process is stopped at a time.
const STOP_TIME: Duration = Duration::from_millis(150);

/// A running process. Dropping it kills the process.
pub(super) struct Node {
    process: Child,
    pid: Pid,
    /// Address on which the edge node listens for clients.
    pub(super) address: SocketAddr,
}

impl Node {
    /// Starts the program with a configuration in `folder`. `preload` is a library for
    /// `LD_PRELOAD`.
    pub(super) async fn start(
        program: &Path,
        preload: Option<&Path>,
        folder: &Path,
        discovery: SocketAddr,
        known_list: &str,
    ) -> Result<Node> {
        let path = folder.join("node.json");
        std::fs::write(&path, config(discovery, known_list)?)?;
        let mut command = Command::new(program);
        for variable in CONFIG_VARIABLES {
            command.env_remove(variable);
        }
        if let Some(library) = preload {
            command.env("LD_PRELOAD", library);
        }
        command.env("LB_CONFIG", &path).stdin(Stdio::null());
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        let mut process = command.kill_on_drop(true).spawn()?;
        let pid = process.id().and_then(|id| Pid::from_raw(id as i32));
        let log = process.stderr.take().context("no standard error stream")?;
        let mut log = BufReader::new(log);
        let mut line = String::new();
        log.read_line(&mut line).await?;
        // The log is read to its end, because a full pipe would block the process.
        tokio::task::spawn_local(async move { log.read_to_end(&mut Vec::new()).await });
        let address = line.trim_end().rsplit(' ').next();
        let address = address.and_then(|word| word.parse().ok());
        Ok(Node {
            process,
            pid: pid.context("the process has ended")?,
            address: address.with_context(|| format!("no address in {line:?}"))?,
        })
    }

    /// Sends a signal; does nothing if the process has ended.
    pub(super) fn signal(&self, signal: Signal) {
        let _ = kill_process(self.pid, signal);
    }

    /// Stops the process for a moment.
    pub(super) async fn stop_briefly(&self) {
        self.signal(Signal::STOP);
        sleep(STOP_TIME).await;
        self.signal(Signal::CONT);
    }

    /// Waits until the process exits, at most for `limit`, and kills it then. Returns whether it
    /// was killed.
    ///
    /// # Errors
    /// Returns an error if the process ended with an error.
    pub(super) async fn wait_or_kill(&mut self, limit: Duration) -> Result<bool> {
        let Ok(status) = timeout(limit, self.process.wait()).await else {
            self.process.kill().await?;
            return Ok(true);
        };
        let status = status?;
        anyhow::ensure!(status.success(), "the edge node ended with {status}");
        Ok(false)
    }

    /// Returns an error if the process has ended.
    ///
    /// # Errors
    /// Returns the exit status of the process.
    pub(super) fn check_running(&mut self) -> Result<()> {
        if let Some(status) = self.process.try_wait()? {
            anyhow::bail!("the edge node ended with {status}");
        }
        Ok(())
    }
}

fn config(discovery: SocketAddr, known_list: &str) -> Result<String> {
    let known: serde_json::Value = serde_json::from_str(known_list)?;
    let class = |name: &str, repeat: &str| {
        json!({"name": name, "aimUs": 400_000, "deadlineUs": DEADLINE.as_micros() as u64,
               "lateValue": 0.2, "worth": 3.0, "repeat": repeat})
    };
    let settings = json!({
        "balancers": 1, "me": 0, "zone": "a", "zones": ["a"], "periodUs": 2000, "discovery": "automatic",
        "ceilings": {"cancel": true, "probes": false, "mayTell": true, "secondCopies": false, "sendCap": 4,
                     "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
        "classes": [class("read", "read_like"), class("pay", "non_idempotent")],
        "packages": [{"name": "p", "rate": 10_000.0, "storeSize": 10_000.0, "price": 1.0}],
        "rules": {"drainGraceUs": DRAIN_GRACE.as_micros() as u64, "coldFrom": 0.2, "coldUs": 1_000_000,
                  "fallMultiple": 3.0, "overloadForUs": 1_000_000},
        "extra": {"peerInPerS": 60.0, "maxUnits": 1}
    });
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "known": known, "settings": settings
    });
    Ok(config.to_string())
}
