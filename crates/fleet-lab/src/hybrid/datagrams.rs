//! Datagrams between nodes. Each node that runs has a public address in this process, to which the
//! other nodes send. A hollow node receives there itself; datagrams for a real node are counted and
//! forwarded to the address of its process, so that the messages between real nodes can be counted.
//!
//! Delay and loss are those of the sockets. The network of `world` draws both, and has no sockets.

use crate::world::datagrams::MessageCounts;
use anyhow::{Context, Result};
use gateway_core::GatewayId;
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::UdpSocket;

/// Maximum length of a datagram in bytes, as defined by the protocol.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Counts of the datagrams that one node has sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SentMessages {
    /// Number and bytes of all datagrams.
    pub(super) counts: MessageCounts,
    /// Number of datagrams that were longer than the protocol allows.
    pub(super) too_long: u64,
}

/// A message that one node has sent to another.
pub(super) struct PeerDatagram {
    /// Node that sent the message.
    pub(super) from: GatewayId,
    /// Encoded message.
    pub(super) bytes: Vec<u8>,
}

/// Addresses of one node that runs, and the counts of what it has sent.
struct NodeAddress {
    /// Receives what other nodes send to this node, and sends on behalf of this node.
    socket: UdpSocket,
    /// Address of `socket`, by which other nodes know this node.
    public_address: SocketAddr,
    /// Address of a real node's process; `None` for a hollow node.
    real_address: Option<SocketAddr>,
    sent: Cell<SentMessages>,
}

impl NodeAddress {
    /// Returns the address from which the node itself sends.
    fn source(&self) -> SocketAddr {
        self.real_address.unwrap_or(self.public_address)
    }
}

/// Addresses of all nodes. Nodes that are in the settings but do not run share one address, from
/// which no node answers.
pub(super) struct Datagrams {
    nodes: Vec<NodeAddress>,
    absent_socket: UdpSocket,
    absent_address: SocketAddr,
    fleet_size: usize,
}

impl Datagrams {
    /// Binds a public address for each node. `real_addresses` holds the addresses of the processes
    /// of real nodes, by node number, and `None` for hollow nodes.
    pub(super) async fn bind(
        real_addresses: &[Option<SocketAddr>],
        fleet_size: usize,
    ) -> Result<Datagrams> {
        let mut nodes = Vec::new();
        for real_address in real_addresses {
            let socket = bind_socket().await?;
            let public_address = socket.local_addr()?;
            nodes.push(NodeAddress {
                socket,
                public_address,
                real_address: *real_address,
                sent: Cell::default(),
            });
        }
        let absent_socket = bind_socket().await?;
        let absent_address = absent_socket.local_addr()?;
        Ok(Datagrams {
            nodes,
            absent_socket,
            absent_address,
            fleet_size,
        })
    }

    /// Returns the addresses of all nodes for the configuration of a real node, in which the node's
    /// own address is that of its process.
    pub(super) fn peer_addresses(&self, node: GatewayId) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> =
            self.nodes.iter().map(|node| node.public_address).collect();
        let index = node.0 as usize;
        addresses[index] = self.nodes[index].source();
        addresses.resize(self.fleet_size, self.absent_address);
        addresses
    }

    /// Returns the counts of what a node has sent so far.
    pub(super) fn sent(&self, node: GatewayId) -> SentMessages {
        self.nodes[node.0 as usize].sent.get()
    }

    /// Sends a message of a hollow node to another node.
    pub(super) fn send(&self, from: GatewayId, to: GatewayId, bytes: &[u8]) {
        self.record_sent(from, bytes);
        let address = self
            .nodes
            .get(to.0 as usize)
            .map_or(self.absent_address, NodeAddress::source);
        // Errors are ignored, because datagrams may be lost at any time.
        let _ = self.nodes[from.0 as usize]
            .socket
            .try_send_to(bytes, address);
    }

    /// Sends a message of a hollow node to all other nodes.
    pub(super) fn broadcast(&self, from: GatewayId, bytes: &[u8]) {
        for to in (0..self.fleet_size as u32)
            .map(GatewayId)
            .filter(|to| *to != from)
        {
            self.send(from, to, bytes);
        }
    }

    /// Receives the next message to a node. Returns `None` if the message was forwarded because the
    /// node is real, or if the sender is unknown.
    pub(super) async fn receive(&self, to: GatewayId) -> Option<PeerDatagram> {
        let receiver = &self.nodes[to.0 as usize];
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, source) = receiver.socket.recv_from(&mut buffer).await.ok()?;
        let bytes = &buffer[..length];
        let sender_index = self.nodes.iter().position(|node| node.source() == source)?;
        let sender = &self.nodes[sender_index];
        let from = GatewayId(sender_index as u32);
        if sender.real_address.is_some() {
            self.record_sent(from, bytes);
        }
        let Some(real_address) = receiver.real_address else {
            return Some(PeerDatagram {
                from,
                bytes: bytes.to_vec(),
            });
        };
        // The real node knows the sender by its public address, so the datagram is sent from there.
        let _ = sender.socket.try_send_to(bytes, real_address);
        None
    }

    /// Counts what real nodes send to nodes that do not run, until the end of the run.
    pub(super) async fn count_undeliverable(&self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while let Ok((length, source)) = self.absent_socket.recv_from(&mut buffer).await {
            if let Some(from) = self
                .nodes
                .iter()
                .position(|node| node.real_address == Some(source))
            {
                self.record_sent(GatewayId(from as u32), &buffer[..length]);
            }
        }
    }

    fn record_sent(&self, from: GatewayId, bytes: &[u8]) {
        let counter = &self.nodes[from.0 as usize].sent;
        let mut sent = counter.get();
        sent.counts.add(bytes.len());
        sent.too_long += u64::from(bytes.len() > MAX_DATAGRAM_BYTES);
        counter.set(sent);
    }
}

async fn bind_socket() -> Result<UdpSocket> {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .context("cannot bind a port for datagrams")
}
