//! Startup: binds the sockets, creates the node, spawns its tasks and serves until SIGTERM.
//!
//! All tasks run on one thread, in one `LocalSet`. Unless a comment says that a task ends earlier,
//! it runs until [`run`] returns and drops the set.

mod first_list;
mod resource_limits;
mod sockets;

use crate::admin::{self, AdminService};
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

/// Version of the program, logged at startup.
const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Serves with a configuration until SIGTERM.
///
/// # Errors
/// Returns an error if the log or the async runtime cannot be started, an address cannot be bound,
/// a signal handler cannot be installed, or the settings contradict each other. No error is
/// returned once clients are served.
pub(crate) fn run(config: Config) -> Result<()> {
    let log = Log::start(config.operator_options.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(config, log))
}

/// Starts all parts of the edge node in order, serves until SIGTERM, and shuts down.
async fn serve(mut config: Config, log: Log) -> Result<()> {
    let mut signals = Signals::install()?;
    let sockets = Sockets::bind(&mut config).await?;
    let limits = ResourceLimits::of(&config);
    let has_admin = sockets.admin.is_some();
    let metrics = has_admin.then(|| Rc::new(Metrics::new(&config.settings)));
    let node = Node::new(NodeParts {
        seed: config.seed,
        request_bodies: limits.request_bodies(),
        head_memory: limits.head_memory(),
        customer_limit: limits.customer_limit(),
        upstream: limits.upstream(&config.settings),
        settings: config.settings,
        peers: sockets.peers,
        metrics: metrics.clone(),
    })?;
    log_listening(&config.name, &sockets.clients)?;

    let (phase, phase_receiver) = watch::channel(Phase::Starting);
    if let (Some(listener), Some(metrics)) = (sockets.admin, metrics) {
        let admin = AdminService::new(
            config.name,
            Rc::clone(&node),
            metrics,
            phase_receiver.clone(),
        );
        start_admin(listener, admin)?;
    }
    let (discovery_address, address_receiver) = watch::channel(config.discovery);
    let reload = Reload {
        path: config.path,
        startup_values: config.restart_values,
        discovery_address,
        log,
    };
    spawn_local(reload.run(signals.hangup));
    let first_list = start_discovery(&node, address_receiver, config.initial_endpoints);
    start_background_tasks(&node);

    let first_list_outcome = wait_for_first_list(&node, first_list).await;
    phase.send_replace(Phase::Serving);
    let max_clients = limits.connections_per_side;
    // This task ends once the phase is `Closing` and every client connection is closed; the
    // shutdown waits for it.
    let clients = clients::serve(
        sockets.clients,
        Rc::clone(&node),
        max_clients,
        phase_receiver,
    );
    let clients = spawn_local(clients);
    log_ready(first_list_outcome);

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

/// Streams of the signals that the process handles.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers. [`serve`] calls this before anything else, because a SIGHUP
    /// without a handler would end the process.
    fn install() -> Result<Signals> {
        let terminate =
            signal(SignalKind::terminate()).context("cannot install the SIGTERM handler")?;
        let hangup = signal(SignalKind::hangup()).context("cannot install the SIGHUP handler")?;
        Ok(Signals { terminate, hangup })
    }
}

fn log_listening(name: &str, clients: &TcpListener) -> Result<()> {
    let address = clients.local_addr().context("listen")?;
    info!(event = "listening", %name, %address, version = VERSION, "{name}: listening on {address}");
    Ok(())
}

fn start_admin(listener: TcpListener, admin: AdminService) -> Result<()> {
    let address = listener.local_addr().context("admin.listen")?;
    info!(event = "admin_listening", %address, "admin listener on {address}");
    spawn_local(admin::serve(listener, admin));
    Ok(())
}

/// Spawns the task that watches discovery. The returned receiver is notified when the first
/// endpoint list from discovery has been applied. Until then, the node uses the list `known`, if
/// there is one.
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

/// Spawns the tasks that receive messages from peers and that close idle connections to servers.
fn start_background_tasks(node: &Rc<Node>) {
    spawn_local(node::receive_peer_messages(Rc::clone(node)));
    spawn_local(evict_idle_connections(Rc::clone(node)));
}

async fn evict_idle_connections(node: Rc<Node>) {
    node.upstream.evict_idle_connections().await;
}
