//! The nodes of a run, real and hollow: their start, their resource usage and their shutdown.

use super::datagrams::SentMessages;
use super::discovery_agent;
use super::environment::Environment;
use super::hollow_node::HollowNode;
use super::real_node::{RealNode, RealNodeConfig};
use crate::world::Rng;
use anyhow::{Context, Result};
use gateway_core::GatewayId;
use rand::Rng as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

/// A node of either kind.
pub(super) enum Node {
    /// A process of the edge node's program.
    Real(Box<RealNode>),
    /// A decision library inside this process.
    Hollow(Rc<HollowNode>),
}

/// Resources that a node has used so far.
pub(super) struct NodeUsage {
    /// Processor time of a real node, or time inside the decision library of a hollow one.
    pub(super) cost: Duration,
    /// Counts of the messages that the node has sent.
    pub(super) sent: SentMessages,
}

/// Returns the resources that each node has used so far.
pub(super) fn usage_of(nodes: &[Node], environment: &Environment) -> Result<Vec<NodeUsage>> {
    let mut usage = Vec::new();
    for (id, node) in (0..).map(GatewayId).zip(nodes) {
        let cost = match node {
            Node::Real(real) => real.cpu_time()?,
            Node::Hollow(hollow) => hollow.decision_time(),
        };
        usage.push(NodeUsage {
            cost,
            sent: environment.datagrams.sent(id),
        });
    }
    Ok(usage)
}

/// Reserved ports for datagrams, by node number; hollow nodes need none. A port stays bound until
/// just before the node's program binds it, so that no other socket of this process is given the
/// same port.
pub(super) struct ReservedPorts(Vec<Option<UdpSocket>>);

impl ReservedPorts {
    /// Reserves ports for the real nodes. Real nodes are distributed evenly among the hollow nodes,
    /// so that both kinds share customers.
    pub(super) async fn reserve(real: u32, nodes: u32) -> Result<ReservedPorts> {
        let mut ports: Vec<Option<UdpSocket>> = (0..nodes).map(|_| None).collect();
        for index in 0..real {
            let number = index * nodes / real;
            ports[number as usize] = Some(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        }
        Ok(ReservedPorts(ports))
    }

    /// Returns the reserved addresses, by node number.
    pub(super) fn addresses(&self) -> std::io::Result<Vec<Option<SocketAddr>>> {
        let address =
            |port: &Option<UdpSocket>| port.as_ref().map(UdpSocket::local_addr).transpose();
        self.0.iter().map(address).collect()
    }
}

/// Binds a free loopback port for connections.
pub(super) async fn bind_listener() -> Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .context("cannot bind a port for connections")
}

/// Starts all nodes: a real node where a port is reserved, a hollow node elsewhere.
pub(super) async fn start_all(
    environment: &Rc<Environment>,
    program: &Path,
    folder: &Path,
    ports: ReservedPorts,
    rng: &mut Rng,
) -> Result<Vec<Node>> {
    let mut nodes = Vec::new();
    for (id, port) in (0..).map(GatewayId).zip(ports.0) {
        let seed = rng.random();
        nodes.push(match port {
            Some(port) => {
                let config = prepare_real_node(environment, id, port, seed).await?;
                let node = RealNode::start(environment, program, folder, config).await?;
                Node::Real(Box::new(node))
            }
            None => Node::Hollow(HollowNode::start(environment, id, seed)?),
        });
    }
    Ok(nodes)
}

/// Starts a real node's discovery agent and the forwarding of its messages, and frees its reserved
/// port.
async fn prepare_real_node(
    environment: &Rc<Environment>,
    id: GatewayId,
    port: UdpSocket,
    seed: u64,
) -> Result<RealNodeConfig> {
    let listener = bind_listener().await?;
    let discovery = listener.local_addr()?;
    tokio::task::spawn_local(discovery_agent::serve(Rc::clone(environment), id, listener));
    let environment = Rc::clone(environment);
    tokio::task::spawn_local(async move {
        loop {
            environment.datagrams.receive(id).await;
        }
    });
    Ok(RealNodeConfig {
        id,
        discovery,
        datagrams: port.local_addr()?,
        seed,
    })
}

/// Shuts down all real nodes. A node that ends with an error fails the run, whatever the report
/// says.
pub(super) async fn shut_down_all(nodes: Vec<Node>) -> Result<()> {
    let mut shutdowns = JoinSet::new();
    for node in nodes {
        if let Node::Real(real) = node {
            shutdowns.spawn_local(real.shut_down());
        }
    }
    while let Some(shutdown) = shutdowns.join_next().await {
        shutdown.context("the task that shuts down a node failed")??;
    }
    Ok(())
}
