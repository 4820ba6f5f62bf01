//! Datagrams between nodes. Each node that runs has an address at which the others know it: a hollow node reads there
//! itself, and what arrives for a real node is counted and forwarded, so that the messages of real nodes can be counted.
//!
//! Delay and loss are those of the sockets. The network of `world` draws both, and knows no sockets.

use crate::world::datagrams::MessageCounts;
use anyhow::{Context, Result};
use gateway_core::GatewayId;
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::UdpSocket;

/// Maximum length of a datagram in bytes, by the protocol.
const MAX_DATAGRAM_BYTES: usize = 256;

/// What one node has sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SentMessages {
    /// All datagrams.
    pub(super) counts: MessageCounts,
    /// Datagrams that were longer than the protocol allows.
    pub(super) too_long: u64,
}

/// A message of a node.
pub(super) struct PeerDatagram {
    /// The sender.
    pub(super) from: GatewayId,
    /// The message.
    pub(super) bytes: Vec<u8>,
}

struct NodeAddress {
    /// Where the others send to, and from where they receive.
    socket: UdpSocket,
    public_address: SocketAddr,
    /// Where a real node itself listens.
    real_address: Option<SocketAddr>,
    sent: Cell<SentMessages>,
}

impl NodeAddress {
    /// The address from which the node itself sends.
    fn source(&self) -> SocketAddr {
        self.real_address.unwrap_or(self.public_address)
    }
}

/// The addresses of all nodes. Those that are in the settings and do not run share one, where nobody answers.
pub(super) struct Datagrams {
    nodes: Vec<NodeAddress>,
    absent_socket: UdpSocket,
    absent_address: SocketAddr,
    fleet_size: usize,
}

impl Datagrams {
    /// Binds an address for each node; `real` has the address at which a real node itself listens.
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

    /// The addresses of all nodes for the configuration of a real one, whose own is where it listens.
    pub(super) fn peer_addresses(&self, node: GatewayId) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> =
            self.nodes.iter().map(|node| node.public_address).collect();
        let index = node.0 as usize;
        addresses[index] = self.nodes[index].source();
        addresses.resize(self.fleet_size, self.absent_address);
        addresses
    }

    /// What a node has sent so far.
    pub(super) fn sent(&self, node: GatewayId) -> SentMessages {
        self.nodes[node.0 as usize].sent.get()
    }

    /// Sends a hollow node's message to another node.
    pub(super) fn send(&self, from: GatewayId, to: GatewayId, bytes: &[u8]) {
        self.record_sent(from, bytes);
        let address = self
            .nodes
            .get(to.0 as usize)
            .map_or(self.absent_address, NodeAddress::source);
        // Datagrams may be lost.
        let _ = self.nodes[from.0 as usize]
            .socket
            .try_send_to(bytes, address);
    }

    /// Sends a hollow node's message to all others.
    pub(super) fn broadcast(&self, from: GatewayId, bytes: &[u8]) {
        for to in (0..self.fleet_size as u32)
            .map(GatewayId)
            .filter(|to| *to != from)
        {
            self.send(from, to, bytes);
        }
    }

    /// Receives the next message to a node. One to a real node is forwarded; `None` then, and if no node is known to
    /// have sent it.
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
        // The real node knows the sender by its public address.
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
        .context("a port for datagrams")
}
