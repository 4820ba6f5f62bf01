//! Datagrams between nodes. Each node that is there has an address at which the others know it: a hollow node reads
//! there itself, and what comes for a real one is counted and passed on, so that real nodes can be seen to speak.

use anyhow::{Context, Result};
use edge_node::GatewayId;
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::UdpSocket;

/// Most bytes of a datagram.
const MOST: usize = 256;

/// What one node has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    /// Datagrams.
    pub messages: u64,
    /// Their bytes, without headers.
    pub bytes: u64,
    /// Those that were longer than the protocol allows.
    pub too_long: u64,
}

struct Node {
    /// Where the others send to, and what they hear from.
    socket: UdpSocket,
    known: SocketAddr,
    /// Where a real node itself listens.
    real: Option<SocketAddr>,
    sent: Cell<Sent>,
}

/// All nodes' addresses. Those that the settings tell of and that are not there share one, where nobody answers.
pub struct Datagrams {
    nodes: Vec<Node>,
    absent: UdpSocket,
    nowhere: SocketAddr,
    fleet: usize,
}

async fn bind() -> Result<(UdpSocket, SocketAddr)> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.context("a port for datagrams")?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

impl Datagrams {
    /// Binds an address for each node; `real` tells where a real one itself listens.
    pub async fn bind(real: &[Option<SocketAddr>], fleet: usize) -> Result<Datagrams> {
        let mut nodes = Vec::new();
        for real in real {
            let (socket, known) = bind().await?;
            nodes.push(Node { socket, known, real: *real, sent: Cell::default() });
        }
        let (absent, nowhere) = bind().await?;
        Ok(Datagrams { nodes, absent, nowhere, fleet })
    }

    /// The addresses of all nodes as a real one is told them: its own is where it listens.
    pub fn peers(&self, me: GatewayId) -> Vec<SocketAddr> {
        let known = |(number, node): (usize, &Node)| match node.real {
            Some(own) if number == me.0 as usize => own,
            _ => node.known,
        };
        let there = self.nodes.iter().enumerate().map(known);
        there.chain(std::iter::repeat(self.nowhere)).take(self.fleet).collect()
    }

    /// What a node has sent so far.
    pub fn sent(&self, node: GatewayId) -> Sent {
        self.nodes[node.0 as usize].sent.get()
    }

    /// A hollow node says something to another node.
    pub fn tell(&self, from: GatewayId, to: GatewayId, bytes: &[u8]) {
        self.count(from, bytes);
        let to = self.nodes.get(to.0 as usize).map_or(self.nowhere, |node| node.real.unwrap_or(node.known));
        // Losing one is in the nature of datagrams.
        let _ = self.nodes[from.0 as usize].socket.try_send_to(bytes, to);
    }

    /// A hollow node says something to all others.
    pub fn tell_all(&self, from: GatewayId, bytes: &[u8]) {
        let others = (0..self.fleet as u32).map(GatewayId).filter(|to| *to != from);
        others.for_each(|to| self.tell(from, to, bytes));
    }

    /// The next word to a node. One to a real node is passed on; `None` then, and where nobody is known to have sent
    /// it.
    pub async fn next(&self, to: GatewayId) -> Option<(GatewayId, Vec<u8>)> {
        let node = &self.nodes[to.0 as usize];
        let mut buffer = [0; MOST + 1];
        let (length, source) = node.socket.recv_from(&mut buffer).await.ok()?;
        let bytes = &buffer[..length];
        let speaks = |other: &Node| other.real.unwrap_or(other.known) == source;
        let from = GatewayId(self.nodes.iter().position(speaks)? as u32);
        let speaker = &self.nodes[from.0 as usize];
        if speaker.real.is_some() {
            self.count(from, bytes);
        }
        let Some(own) = node.real else { return Some((from, bytes.to_vec())) };
        // The real node knows who speaks by this address.
        let _ = speaker.socket.try_send_to(bytes, own);
        None
    }

    /// Counts what real nodes say to nodes that are not there, for ever.
    pub async fn lose(&self) {
        let mut buffer = [0; MOST + 1];
        while let Ok((length, source)) = self.absent.recv_from(&mut buffer).await {
            if let Some(from) = self.nodes.iter().position(|node| node.real == Some(source)) {
                self.count(GatewayId(from as u32), &buffer[..length]);
            }
        }
    }

    fn count(&self, from: GatewayId, bytes: &[u8]) {
        let sent = &self.nodes[from.0 as usize].sent;
        let Sent { messages, bytes: before, too_long } = sent.get();
        sent.set(Sent {
            messages: messages + 1,
            bytes: before + bytes.len() as u64,
            too_long: too_long + u64::from(bytes.len() > MOST),
        });
    }
}
