//! Datagrams between edge nodes. They may be late, lost or forged: what they say is the module's concern.

use crate::bind;
use crate::config::PeerAddresses;
use anyhow::Result;
use edge_node::GatewayId;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Most bytes of a datagram.
const MOST: usize = 256;

pub struct Peers {
    socket: UdpSocket,
    each: Vec<SocketAddr>,
    /// Whose an address is. Danger: thousands of peers looked through for each datagram.
    senders: HashMap<SocketAddr, GatewayId>,
    all: Option<SocketAddr>,
    me: usize,
    /// Datagrams that went out and came in, of peers alone.
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl Peers {
    pub async fn bind(addresses: PeerAddresses, me: GatewayId) -> Result<Peers> {
        let PeerAddresses { listen, addresses: each, broadcast: all } = addresses;
        let socket = bind::when_free(format!("peer_listen {listen}"), || UdpSocket::bind(listen)).await?;
        // Of two that share an address, it speaks for the first.
        let senders = each.iter().enumerate().rev().map(|(number, peer)| (*peer, GatewayId(number as u32)));
        let senders = senders.collect();
        let (sent, received) = (Cell::default(), Cell::default());
        Ok(Peers { socket, each, senders, all, me: me.0 as usize, sent, received })
    }

    /// Datagrams sent and received.
    pub fn counted(&self) -> (u64, u64) {
        (self.sent.get(), self.received.get())
    }

    pub fn tell(&self, to: GatewayId, bytes: &[u8]) {
        if let Some(address) = self.each.get(to.0 as usize) {
            self.send(bytes, *address);
        }
    }

    pub fn tell_all(&self, bytes: &[u8]) {
        if let Some(all) = self.all {
            return self.send(bytes, all);
        }
        let others = self.each.iter().enumerate().filter(|(number, _)| *number != self.me);
        others.for_each(|(_, address)| self.send(bytes, *address));
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if bytes.len() <= MOST {
            // Losing one is in the nature of datagrams.
            let sent = self.socket.try_send_to(bytes, to).is_ok();
            self.sent.set(self.sent.get() + u64::from(sent));
        }
    }

    /// The next datagram and whose it is. `None` for one that is passed over: from an address that is no peer's, or too
    /// long. Cancel safe: a datagram is taken from the socket only when this returns.
    pub(crate) async fn receive(&self) -> Option<(GatewayId, Vec<u8>)> {
        let mut buffer = [0; MOST + 1];
        let (length, from) = self.socket.recv_from(&mut buffer).await.ok()?;
        let sender = self.senders.get(&from)?;
        let bytes = buffer.get(..length).filter(|bytes| bytes.len() <= MOST)?;
        self.received.set(self.received.get() + 1);
        Some((*sender, bytes.to_vec()))
    }
}
