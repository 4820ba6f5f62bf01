//! Processes of the edge node's program, as the experiments on loopback start them.

use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::process::{ChildStderr, Command};

/// Environment variables that would override the configuration file.
const CONFIG_VARIABLES: [&str; 3] = ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"];

/// Returns the path of the program: the given path, or else `edge-node` in the folder of this
/// program. Returns an error message if there is no such file.
pub(crate) fn find_program(given: Option<&Path>) -> Result<PathBuf, String> {
    let in_own_folder = || Some(std::env::current_exe().ok()?.parent()?.join("edge-node"));
    let program = given
        .map(Path::to_owned)
        .or_else(in_own_folder)
        .unwrap_or_default();
    if !program.is_file() {
        return Err(format!(
            "edge node program {} does not exist; build it with `cargo build --release`",
            program.display()
        ));
    }
    Ok(program)
}

/// Returns a command that starts the program with a configuration file. Its standard error stream
/// is piped, and the process is killed when its handle is dropped.
pub(crate) fn command(program: &Path, config: &Path) -> Command {
    let mut command = Command::new(program);
    for variable in CONFIG_VARIABLES {
        command.env_remove(variable);
    }
    command.env("LB_CONFIG", config);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command.kill_on_drop(true);
    command
}

/// Reads the address at which a node listens from the first line of its log, and discards the rest
/// of the log.
///
/// # Errors
/// Returns an error if the first line contains no address.
pub(crate) async fn read_address(log: ChildStderr) -> Result<SocketAddr> {
    let mut log = BufReader::new(log);
    let mut line = String::new();
    log.read_line(&mut line).await?;
    let address = line
        .trim_end()
        .rsplit(' ')
        .next()
        .and_then(|word| word.parse().ok());
    let address =
        address.with_context(|| format!("the node does not listen: {}", line.trim_end()))?;
    // The log is read to its end, because a full pipe would block the node.
    tokio::task::spawn_local(async move { log.read_to_end(&mut Vec::new()).await });
    Ok(address)
}
