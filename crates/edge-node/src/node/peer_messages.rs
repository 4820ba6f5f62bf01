//! Messages between other edge nodes and the decision library, in both directions.

use super::Node;
use crate::peers::Datagram;
use gateway_core::{Event, GatewayId};
use std::rc::Rc;

/// Passes each message from a peer to the decision library until the process ends; returns
/// immediately if no peers are configured.
///
/// A sender is identified by its address only. Messages may be late, lost or forged; the decision
/// library has to tolerate that.
pub(crate) async fn receive_peer_messages(node: Rc<Node>) {
    let Some(peers) = &node.peers else { return };
    loop {
        if let Some(Datagram { from, bytes }) = peers.receive().await {
            node.handle_event(Event::PeerMessage { from, bytes });
        }
    }
}

impl Node {
    /// Sends a message to one peer; does nothing if no peers are configured.
    pub(super) fn send_to_peer(&self, to: GatewayId, bytes: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.send_to(to, bytes);
        }
    }

    /// Sends a message to all peers; does nothing if no peers are configured.
    pub(super) fn broadcast(&self, bytes: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.broadcast(bytes);
        }
    }
}
