//! Messages of other edge nodes on their way to the decision library, and back.

use super::Node;
use crate::peers::Datagram;
use gateway_core::{Event, GatewayId};
use std::rc::Rc;

/// Hands each message of a peer to the decision library, without end; returns immediately where no
/// peers are configured.
///
/// The task ends with the process. The sender is known by its address alone; the messages may be
/// late, lost or forged, which the decision library has to tolerate.
pub(crate) async fn receive_peer_messages(node: Rc<Node>) {
    let Some(peers) = &node.peers else { return };
    loop {
        if let Some(Datagram { from, bytes }) = peers.receive().await {
            node.handle_event(Event::PeerMessage { from, bytes });
        }
    }
}

impl Node {
    /// Sends a message to one peer.
    pub(super) fn send_to_peer(&self, to: GatewayId, bytes: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.send_to(to, bytes);
        }
    }

    /// Sends a message to all peers.
    pub(super) fn broadcast(&self, bytes: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.broadcast(bytes);
        }
    }
}
