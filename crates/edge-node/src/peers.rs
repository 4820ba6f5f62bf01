//! Datagrams between edge nodes. They may be late, lost or forged: what they say is the decision
//! library's concern.

use crate::bind;
use crate::config::PeerAddresses;
use anyhow::Result;
use gateway_core::GatewayId;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Most bytes of a datagram. Longer ones are neither sent nor accepted.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The socket on which this edge node and its peers exchange datagrams. It is closed when this is
/// dropped.
pub(crate) struct Peers {
    socket: UdpSocket,
    /// Address of each edge node, at the index that is its number; this node's own among them.
    addresses: Vec<SocketAddr>,
    /// The edge node that sends from an address. A map, because a search through thousands of peers
    /// for each datagram would be too slow.
    senders: HashMap<SocketAddr, GatewayId>,
    /// One address that reaches all peers, if there is one.
    broadcast_address: Option<SocketAddr>,
    own_id: GatewayId,
    /// Datagrams sent so far.
    sent: Cell<u64>,
    /// Datagrams received so far from peers.
    received: Cell<u64>,
}

/// Datagrams since the start of the process, of peers alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DatagramCounts {
    /// Datagrams that the operating system took for sending.
    pub(crate) sent: u64,
    /// Datagrams that came from a known peer and were of a valid length.
    pub(crate) received: u64,
}

/// A datagram and the peer that sent it.
pub(crate) struct Datagram {
    /// The peer, known by its address alone.
    pub(crate) from: GatewayId,
    /// What it sent, [`MAX_DATAGRAM_BYTES`] at most.
    pub(crate) bytes: Vec<u8>,
}

impl Peers {
    /// Binds the socket for datagrams, waiting for the address as [`bind::with_retry`] does.
    ///
    /// # Errors
    /// The address can't be bound, or stays in use.
    pub(crate) async fn bind(addresses: PeerAddresses, own_id: GatewayId) -> Result<Peers> {
        let PeerAddresses {
            listen,
            addresses,
            broadcast: broadcast_address,
        } = addresses;
        let socket =
            bind::with_retry(format!("peer_listen {listen}"), || UdpSocket::bind(listen)).await?;
        Ok(Peers {
            socket,
            senders: senders_by_address(&addresses),
            addresses,
            broadcast_address,
            own_id,
            sent: Cell::default(),
            received: Cell::default(),
        })
    }

    /// Datagrams sent and received so far.
    pub(crate) fn datagram_counts(&self) -> DatagramCounts {
        DatagramCounts {
            sent: self.sent.get(),
            received: self.received.get(),
        }
    }

    /// Sends a datagram to one peer; to nobody if there is no edge node of that number.
    pub(crate) fn send_to(&self, peer: GatewayId, bytes: &[u8]) {
        if let Some(address) = self.addresses.get(peer.0 as usize) {
            self.send(bytes, *address);
        }
    }

    /// Sends a datagram to all peers: one to their common address, or else one to each.
    pub(crate) fn broadcast(&self, bytes: &[u8]) {
        if let Some(address) = self.broadcast_address {
            self.send(bytes, address);
            return;
        }
        let own_index = self.own_id.0 as usize;
        for (index, address) in self.addresses.iter().enumerate() {
            if index != own_index {
                self.send(bytes, *address);
            }
        }
    }

    /// Sends without waiting. A datagram that is too long, or that the operating system does not
    /// take at once, is lost, as any datagram may be.
    fn send(&self, bytes: &[u8], address: SocketAddr) {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return;
        }
        if self.socket.try_send_to(bytes, address).is_ok() {
            self.sent.set(self.sent.get() + 1);
        }
    }

    /// Waits for the next datagram; `None` if it is from a stranger or too long, or on an error of
    /// the socket.
    ///
    /// Cancel safe: a datagram that has not been returned stays in the socket.
    pub(crate) async fn receive(&self) -> Option<Datagram> {
        // The operating system cuts a datagram to the buffer: one byte more shows that it was too
        // long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, address) = self.socket.recv_from(&mut buffer).await.ok()?;
        let from = *self.senders.get(&address)?;
        if length > MAX_DATAGRAM_BYTES {
            return None;
        }
        self.received.set(self.received.get() + 1);
        Some(Datagram {
            from,
            bytes: buffer[..length].to_vec(),
        })
    }
}

/// The edge node that sends from each address; where two share one, the one of the lower number.
fn senders_by_address(addresses: &[SocketAddr]) -> HashMap<SocketAddr, GatewayId> {
    let mut senders = HashMap::new();
    for (number, address) in (0..).zip(addresses) {
        senders.entry(*address).or_insert(GatewayId(number));
    }
    senders
}
