//! Datagrams between edge nodes. Datagrams may be late, lost or forged. This module checks only
//! their length and source address; the decision library checks their content.

use crate::bind;
use crate::config::PeerAddresses;
use anyhow::Result;
use gateway_core::GatewayId;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Maximum length of a datagram in bytes. Longer datagrams are neither sent nor accepted.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The socket on which this edge node and its peers exchange datagrams. Dropping `Peers` closes it.
pub(crate) struct Peers {
    socket: UdpSocket,
    /// Addresses of all edge nodes, indexed by gateway id. Includes this node's own address.
    addresses: Vec<SocketAddr>,
    /// The edge node that sends from each address. A map, because a linear search through thousands
    /// of peers for each datagram would be too slow.
    senders: HashMap<SocketAddr, GatewayId>,
    /// An address that reaches all peers; `None` if there is no such address.
    broadcast_address: Option<SocketAddr>,
    own_id: GatewayId,
    /// Number of datagrams sent since the process started.
    sent: Cell<u64>,
    /// Number of datagrams received from peers since the process started.
    received: Cell<u64>,
}

/// Numbers of datagrams exchanged with peers since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DatagramCounts {
    /// Datagrams that the operating system accepted for sending.
    pub(crate) sent: u64,
    /// Datagrams of a valid length that came from a known peer.
    pub(crate) received: u64,
}

/// A datagram and the peer that sent it.
pub(crate) struct Datagram {
    /// The peer, identified only by its source address.
    pub(crate) from: GatewayId,
    /// The payload, at most [`MAX_DATAGRAM_BYTES`] bytes long.
    pub(crate) bytes: Vec<u8>,
}

impl Peers {
    /// Binds the datagram socket. Retries while the address is in use, as [`bind::with_retry`]
    /// does.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound or stays in use.
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

    /// Returns the numbers of datagrams sent and received.
    pub(crate) fn datagram_counts(&self) -> DatagramCounts {
        DatagramCounts {
            sent: self.sent.get(),
            received: self.received.get(),
        }
    }

    /// Sends a datagram to one peer; does nothing if no edge node has this id.
    pub(crate) fn send_to(&self, peer: GatewayId, bytes: &[u8]) {
        if let Some(address) = self.addresses.get(peer.0 as usize) {
            self.send(bytes, *address);
        }
    }

    /// Sends a message to all peers: one datagram to the broadcast address if there is one,
    /// otherwise one datagram to each peer.
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

    /// Sends a datagram without waiting. A datagram that is too long, or that the operating system
    /// does not accept immediately, is dropped.
    fn send(&self, bytes: &[u8], address: SocketAddr) {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return;
        }
        if self.socket.try_send_to(bytes, address).is_ok() {
            self.sent.set(self.sent.get() + 1);
        }
    }

    /// Waits for the next datagram. Returns `None` if the datagram is too long or its sender is
    /// unknown, or on a socket error.
    ///
    /// Cancel safe: a datagram that has not been returned stays in the socket's receive buffer.
    pub(crate) async fn receive(&self) -> Option<Datagram> {
        // The operating system truncates a datagram to the length of the buffer, so a buffer with
        // one extra byte reveals a datagram that is too long.
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

/// Returns the edge node that sends from each address. If two edge nodes share an address, the
/// lower id is used.
fn senders_by_address(addresses: &[SocketAddr]) -> HashMap<SocketAddr, GatewayId> {
    let mut senders = HashMap::new();
    for (number, address) in (0..).zip(addresses) {
        senders.entry(*address).or_insert(GatewayId(number));
    }
    senders
}
