//! The edge node under test: a process, its configuration and its signals.

use super::records::{DEADLINE, DRAIN_GRACE};
use crate::edge_node_process;
use anyhow::{Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::process::Child;
use tokio::time::{sleep, timeout};

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
        let mut command = edge_node_process::command(program, &path);
        if let Some(library) = preload {
            command.env("LD_PRELOAD", library);
        }
        let mut process = command.spawn()?;
        let pid = process.id().and_then(|id| Pid::from_raw(id as i32));
        let log = process.stderr.take().context("no standard error stream")?;
        let address = edge_node_process::read_address(log).await?;
        Ok(Node {
            process,
            pid: pid.context("the process has ended")?,
            address,
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
