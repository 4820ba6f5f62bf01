//! Start-up: binds the sockets, builds the node, starts its tasks and serves until SIGTERM.
//!
//! All tasks run on one thread, in one `LocalSet`. Those that are not said to end earlier run until [`run`] returns and
//! drops the set.

use crate::admin::{self, Admin};
use crate::clients::{self, Phase};
use crate::config::{Config, PeerAddresses};
use crate::endpoint_list::EndpointList;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::node::{self, Node, NodeParts};
use crate::peers::Peers;
use crate::reload::Reload;
use crate::shutdown::Shutdown;
use crate::upstream::{BodyBudget, Upstream};
use crate::{bind, discovery};
use anyhow::{Context, Result};
use gateway_core::reconnect;
use gateway_core::settings::ResolvedSettings;
use gateway_core::GatewayId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, LocalSet};
use tracing::{info, warn};

const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Descriptors for all but clients and servers: the listener, discovery, peers, and the runtime's own.
const RESERVED_DESCRIPTORS: usize = 32;
/// Clients and servers share the other descriptors in equal parts.
const CONNECTION_SIDES: usize = 2;
/// One part in so many of the memory is for large bodies: each is held twice for a moment, and once more while it is
/// written.
const LARGE_BODY_MEMORY_DIVISOR: usize = 8;

/// Serves under a configuration until SIGTERM.
///
/// # Errors
/// An address can't be bound, a signal can't be handled, or the settings contradict each other. Once clients are
/// served, it does not fail any more.
pub(crate) fn run(config: Config) -> Result<()> {
    let log = Log::start(config.operator.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(config, log))
}

async fn serve(mut config: Config, log: Log) -> Result<()> {
    let mut signals = Signals::install()?;
    let sockets = Sockets::bind(&mut config).await?;
    let limits = ResourceLimits::of(&config);
    let metrics = sockets
        .admin
        .as_ref()
        .map(|_| Rc::new(Metrics::new(&config.settings)));
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
        start_admin(
            listener,
            Admin::new(config.name, Rc::clone(&node), metrics, phase_seen.clone()),
        )?;
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
    spawn_local(node::receive_peer_messages(Rc::clone(&node)));
    spawn_local(evict_idle_connections(Rc::clone(&node)));

    let waited = wait_for_first_list(&node, first_list).await;
    phase.send_replace(Phase::Serving);
    // The task ends by itself once the phase is `Closing` and each client has its answer; the shutdown waits for that.
    let max_clients = limits.connections_per_side;
    let clients = spawn_local(clients::serve(
        sockets.clients,
        Rc::clone(&node),
        max_clients,
        phase_seen,
    ));
    log_ready(waited);

    signals.terminate.recv().await;
    Shutdown {
        node,
        phase,
        clients,
        longest_deadline: limits.longest_deadline,
    }
    .run()
    .await;
    Ok(())
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes the signals over before anything else is done: a SIGHUP without a handler ends the process.
    fn install() -> Result<Signals> {
        let terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
        let hangup = signal(SignalKind::hangup()).context("SIGHUP")?;
        Ok(Signals { terminate, hangup })
    }
}

/// The sockets that are bound at the start, in the order of their fields.
struct Sockets {
    clients: TcpListener,
    peers: Option<Peers>,
    admin: Option<TcpListener>,
}

impl Sockets {
    /// Binds all sockets; takes the peers' addresses out of the configuration.
    async fn bind(config: &mut Config) -> Result<Sockets> {
        let gateway_id = config.settings.settings.gateway_id;
        Ok(Sockets {
            clients: bind_clients(config.listen).await?,
            peers: bind_peers(config.peers.take(), gateway_id).await?,
            admin: bind_admin(config.operator.admin.listen).await?,
        })
    }
}

async fn bind_clients(address: SocketAddr) -> Result<TcpListener> {
    bind::with_retry(format!("listen {address}"), || TcpListener::bind(address)).await
}

async fn bind_peers(
    addresses: Option<PeerAddresses>,
    gateway_id: GatewayId,
) -> Result<Option<Peers>> {
    match addresses {
        Some(addresses) => Ok(Some(Peers::bind(addresses, gateway_id).await?)),
        None => Ok(None),
    }
}

async fn bind_admin(address: Option<SocketAddr>) -> Result<Option<TcpListener>> {
    let Some(address) = address else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("admin.listen {address}"))?;
    Ok(Some(listener))
}

/// What connections and requests may take of the process.
struct ResourceLimits {
    /// Connections of clients, and as many to servers.
    connections_per_side: usize,
    /// Bytes that all large bodies together may hold.
    large_body_bytes: usize,
    /// No request has a longer deadline.
    longest_deadline: Duration,
}

impl ResourceLimits {
    fn of(config: &Config) -> ResourceLimits {
        ResourceLimits {
            connections_per_side: (config.max_file_descriptors - RESERVED_DESCRIPTORS)
                / CONNECTION_SIDES,
            large_body_bytes: config.max_memory / LARGE_BODY_MEMORY_DIVISOR,
            longest_deadline: config.settings.longest_deadline,
        }
    }

    fn upstream(&self, settings: &ResolvedSettings) -> Upstream {
        Upstream::new(
            BodyBudget::new(self.large_body_bytes),
            self.connections_per_side,
            settings.connection_idle_timeout,
            settings.connect_timeout,
        )
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

/// Starts to watch discovery; the receiver gets the word that a first list has been applied.
fn start_discovery(
    node: &Rc<Node>,
    address: watch::Receiver<SocketAddr>,
    known: Option<EndpointList>,
) -> oneshot::Receiver<()> {
    let (list_came, first_list) = oneshot::channel();
    spawn_local(discovery::watch_endpoints(
        Rc::clone(node),
        address,
        known,
        list_came,
    ));
    first_list
}

async fn evict_idle_connections(node: Rc<Node>) {
    node.upstream.evict_idle_connections().await;
}

/// How the wait for the first endpoint list ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstList {
    Received,
    /// Discovery was silent until the deadline.
    DeadlinePassed,
}

/// Waits for the first endpoint list, while clients wait in the backlog. What discovery holds counts as told from the
/// first moment on, and the list in the configuration may be old; if discovery stays silent, that list has to do.
async fn wait_for_first_list(node: &Node, first_list: oneshot::Receiver<()>) -> FirstList {
    let deadline = reconnect::first_list_timeout(node.settings.drain_grace);
    match tokio::time::timeout(deadline, first_list).await {
        Ok(_) => FirstList::Received,
        Err(_) => FirstList::DeadlinePassed,
    }
}

fn log_ready(first_list: FirstList) {
    match first_list {
        FirstList::Received => {
            info!(
                event = "ready",
                cause = "a list has come",
                "ready: a list of servers has come"
            );
        }
        FirstList::DeadlinePassed => {
            warn!(
                event = "ready",
                cause = "discovery is silent",
                "ready on an old list: discovery is silent"
            );
        }
    }
}
