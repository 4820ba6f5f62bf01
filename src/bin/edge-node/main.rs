//! The edge node: a shell of sockets round the decision module. It makes no policy.
#![forbid(unsafe_code)]

mod admin;
mod ahead;
mod bind;
mod clients;
mod command;
mod config;
mod discovery;
mod endpoint_list;
mod log;
mod metrics;
mod node;
mod peers;
mod upstream;

use admin::Admin;
use anyhow::{Context, Result};
use clients::Phase;
use config::{Config, RestartValues};
use edge_node::reconnect;
use log::Log;
use metrics::Metrics;
use node::Node;
use peers::Peers;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{oneshot, watch};
use tracing::{error, info, warn};
use upstream::{Room, Upstream};

const VERSION: &str = env!("CARGO_PKG_VERSION");

/// After SIGTERM new connections go on coming for so long at the least.
const LEAVING_FOR: Duration = Duration::from_millis(600);
/// Descriptors for all but clients and app servers: listener, discovery, peers, the runtime's own.
const RESERVED: usize = 32;
/// One part in so many of the memory is for large bodies: each is held twice for a moment, and once more on its way out.
const LARGE_SHARE: usize = 8;

fn main() -> ExitCode {
    command::run()
}

/// Serves under a configuration until SIGTERM.
pub(crate) fn run(config: Config) -> Result<()> {
    let log = Log::start(config.operator.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(config, log))
}

async fn serve(config: Config, log: Log) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    // Guards against ending on SIGHUP, which is what it does to a process that does not ask for it.
    let hangup = signal(SignalKind::hangup()).context("SIGHUP")?;
    let listener =
        bind::when_free(format!("listen {}", config.listen), || TcpListener::bind(config.listen)).await?;
    let peers = match config.peers {
        Some(addresses) => Some(Peers::bind(addresses, config.settings.settings.gateway_id).await?),
        None => None,
    };
    let each_side = (config.max_file_descriptors - RESERVED) / 2;
    let longest = Duration::from_micros(config.settings.longest_deadline);
    let room = Room::new(config.max_memory / LARGE_SHARE);
    let upstream = Upstream::new(
        room,
        each_side,
        config.settings.connection_idle_timeout,
        config.settings.connect_timeout,
    );
    let admin = match config.operator.admin.listen {
        Some(address) => {
            Some(TcpListener::bind(address).await.with_context(|| format!("admin.listen {address}"))?)
        }
        None => None,
    };
    let metrics = admin.as_ref().map(|_| Rc::new(Metrics::new(&config.settings)));
    let node = Node::new(config.seed, config.settings, upstream, peers, metrics.clone())?;
    let (name, address) = (config.name, listener.local_addr().context("listen")?);
    info!(event = "start", %name, %address, version = VERSION, "{name}: listening on {address}");

    let (phase, seen) = watch::channel(Phase::Starting);
    if let (Some(listener), Some(metrics)) = (admin, metrics) {
        let address = listener.local_addr().context("admin.listen")?;
        info!(event = "admin", %address, "admin listener on {address}");
        let (node, phase, started) = (Rc::clone(&node), seen.clone(), Instant::now());
        tokio::task::spawn_local(admin::serve(listener, Admin { name, node, metrics, phase, started }));
    }
    let (moved, discovery) = watch::channel(config.discovery);
    tokio::task::spawn_local(reload(hangup, config.path, config.restart_values, moved, log));
    let (heard, first_list) = oneshot::channel();
    tokio::task::spawn_local(discovery::watch_endpoints(
        Rc::clone(&node),
        discovery,
        config.initial_endpoints,
        heard,
    ));
    tokio::task::spawn_local(peers::listen(Rc::clone(&node)));
    tokio::task::spawn_local(retire(Rc::clone(&node)));
    // What discovery holds counts as told from the first moment, and the list that is known may be old. Clients wait
    // in the backlog for that; while discovery is silent, what is known has to do.
    let heard = tokio::time::timeout(reconnect::first_list_timeout(node.named.drain_grace), first_list).await;
    phase.send_replace(Phase::Serving);
    let clients = tokio::task::spawn_local(clients::serve(listener, Rc::clone(&node), each_side, seen));
    match heard {
        Ok(_) => info!(event = "ready", cause = "a list has come", "ready: a list of servers has come"),
        Err(_) => {
            warn!(event = "ready", cause = "discovery is silent", "ready on an old list: discovery is silent")
        }
    }

    terminate.recv().await;
    info!(
        event = "leaving",
        cause = "SIGTERM",
        open = node.open(),
        "leaving on SIGTERM: {} requests open",
        node.open()
    );
    phase.send_replace(Phase::Leaving);
    tokio::time::sleep(LEAVING_FOR).await;
    phase.send_replace(Phase::Closing);
    // All that was taken ends by its own deadline; a client that never reads must not hold up the exit.
    match tokio::time::timeout(longest, clients).await {
        Ok(_) => info!(event = "left", "left: every client has its answer"),
        Err(_) => warn!(
            event = "left",
            open = node.open(),
            "left: {} requests open, past every deadline",
            node.open()
        ),
    }
    Ok(())
}

/// Rereads the configuration on each SIGHUP, for ever: whole or not at all. Discovery's address and the level of the
/// log can change in service; of what else has changed the keys are told.
async fn reload(
    mut hangup: Signal, path: PathBuf, values: RestartValues, discovery: watch::Sender<SocketAddr>, log: Log,
) {
    while hangup.recv().await.is_some() {
        match read_and_set_level(&path, &log) {
            Ok(config) => {
                let (address, level) = (config.discovery, config.operator.log.level);
                // Also when it is the same address as before: its numbering may have begun anew.
                discovery.send_replace(address);
                let waits = values.changed_keys(&config.restart_values).join(", ");
                let more = if waits.is_empty() { "" } else { "; waiting for a restart: " };
                info!(event = "applied", discovery = %address, log_level = %level, waits, "reloaded: log level {level}, discovery at {address}{more}{waits}");
            }
            Err(error) => {
                error!(event = "not_applied", cause = %format_args!("{error:#}"), "the old configuration stays: {error:#}")
            }
        }
    }
}

/// Reads the configuration again, and sets the log's level by it.
fn read_and_set_level(path: &Path, log: &Log) -> Result<Config> {
    let config = Config::read(path)?;
    log.set_level(config.operator.log.level)?;
    Ok(config)
}

async fn retire(node: Rc<Node>) {
    node.upstream.retire().await;
}
