//! Start-up: binds the sockets, builds the node, starts its tasks and serves until SIGTERM.
//!
//! All tasks run on one thread, in one `LocalSet`. Those that are not said to end earlier run until
//! [`run`] returns and drops the set.

mod first_list;
mod resource_limits;
mod sockets;

use crate::admin::{self, Admin};
use crate::clients::{self, Phase};
use crate::config::Config;
use crate::discovery;
use crate::endpoint_list::EndpointList;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::node::{self, Node, NodeParts};
use crate::reload::Reload;
use crate::shutdown::Shutdown;
use anyhow::{Context, Result};
use first_list::{log_ready, wait_for_first_list};
use resource_limits::ResourceLimits;
use sockets::Sockets;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, LocalSet};
use tracing::info;

/// The version that the log names at the start.
const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Serves under a configuration until SIGTERM.
///
/// # Errors
/// An address can't be bound, a signal can't be handled, or the settings contradict each other.
/// Once clients are served, it does not fail any more.
pub(crate) fn run(config: Config) -> Result<()> {
    let log = Log::start(config.operator_options.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(config, log))
}

/// Starts everything in order, serves until SIGTERM, and shuts down.
async fn serve(mut config: Config, log: Log) -> Result<()> {
    let mut signals = Signals::install()?;
    let sockets = Sockets::bind(&mut config).await?;
    let limits = ResourceLimits::of(&config);
    let has_admin = sockets.admin.is_some();
    let metrics = has_admin.then(|| Rc::new(Metrics::new(&config.settings)));
    let node = Node::new(NodeParts {
        seed: config.seed,
        upstream: limits.upstream(&config.settings),
        settings: config.settings,
        peers: sockets.peers,
        metrics: metrics.clone(),
    })?;
    log_listening(&config.name, &sockets.clients)?;

    let (phase, phase_seen) = watch::channel(Phase::Starting);
    if let (Some(listener), Some(metrics)) = (sockets.admin, metrics) {
        let admin = Admin::new(config.name, Rc::clone(&node), metrics, phase_seen.clone());
        start_admin(listener, admin)?;
    }
    let (discovery, discovery_seen) = watch::channel(config.discovery);
    let reload = Reload {
        path: config.path,
        started_with: config.restart_values,
        discovery,
        log,
    };
    spawn_local(reload.run(signals.hangup));
    let first_list = start_discovery(&node, discovery_seen, config.initial_endpoints);
    start_background_tasks(&node);

    let first_list = wait_for_first_list(&node, first_list).await;
    phase.send_replace(Phase::Serving);
    let max_clients = limits.connections_per_side;
    // The task ends by itself once the phase is `Closing` and each client has its answer; the
    // shutdown waits for that.
    let clients = clients::serve(sockets.clients, Rc::clone(&node), max_clients, phase_seen);
    let clients = spawn_local(clients);
    log_ready(first_list);

    signals.terminate.recv().await;
    let shutdown = Shutdown {
        node,
        phase,
        clients,
        longest_deadline: limits.longest_deadline,
    };
    shutdown.run().await;
    Ok(())
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes the signals over before anything else is done: a SIGHUP without a handler ends the
    /// process.
    fn install() -> Result<Signals> {
        let terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
        let hangup = signal(SignalKind::hangup()).context("SIGHUP")?;
        Ok(Signals { terminate, hangup })
    }
}

fn log_listening(name: &str, clients: &TcpListener) -> Result<()> {
    let address = clients.local_addr().context("listen")?;
    info!(event = "listening", %name, %address, version = VERSION, "{name}: listening on {address}");
    Ok(())
}

fn start_admin(listener: TcpListener, admin: Admin) -> Result<()> {
    let address = listener.local_addr().context("admin.listen")?;
    info!(event = "admin_listening", %address, "admin listener on {address}");
    spawn_local(admin::serve(listener, admin));
    Ok(())
}

/// Starts to watch discovery; the receiver is notified when the first list has been applied.
fn start_discovery(
    node: &Rc<Node>,
    address: watch::Receiver<SocketAddr>,
    known: Option<EndpointList>,
) -> oneshot::Receiver<()> {
    let (notify_first_list, first_list) = oneshot::channel();
    spawn_local(discovery::watch_endpoints(
        Rc::clone(node),
        address,
        known,
        notify_first_list,
    ));
    first_list
}

/// Starts the tasks that receive from peers and close idle connections to servers.
fn start_background_tasks(node: &Rc<Node>) {
    spawn_local(node::receive_peer_messages(Rc::clone(node)));
    spawn_local(evict_idle_connections(Rc::clone(node)));
}

async fn evict_idle_connections(node: Rc<Node>) {
    node.upstream.evict_idle_connections().await;
}
