//! Discovery: a watch on the list of servers, reopened whenever it ends, falls silent or becomes
//! unreadable.
//!
//! The platform expects the edge node to know the endpoints that the discovery agent on this
//! machine has, even if no watch is open at the time. A failed watch is therefore detected,
//! reopened and read well within the drain grace. Each watch requests a snapshot, which the agent
//! sends immediately or not at all. Sequence numbers are compared within one watch only.

mod list_reader;
mod watch;

use crate::endpoint_list::{EndpointEntry, EndpointList};
use crate::log::ErrorChain;
use crate::node::Node;
use bytes::Bytes;
use gateway_core::reconnect::{ReconnectPolicy, WatchEvent};
use gateway_core::EndpointUpdate;
use list_reader::{ListReader, WatchMessage};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch as watch_channel};
use tokio::time::{sleep_until, timeout_at, Instant};
use tracing::debug;
use watch::{Watch, WatchError};

/// Keeps the node's endpoints up to date until the process ends, and switches to another discovery
/// address when it changes. While discovery is unreachable, the last list stays in use.
/// `known_list` is applied first, before discovery has answered; `first_list` is notified when the
/// first list from discovery has been applied.
///
/// When the address changes, the future that watches the old address is dropped, which closes its
/// connection. No list is applied partially then, because applying a list never awaits.
pub(crate) async fn watch_endpoints(
    node: Rc<Node>,
    mut address: watch_channel::Receiver<SocketAddr>,
    known_list: Option<EndpointList>,
    first_list: oneshot::Sender<()>,
) {
    if let Some(known_list) = known_list {
        node.apply_endpoints(EndpointUpdate::Snapshot, &known_list.entries.readable);
    }
    let mut client = DiscoveryClient::new(node, first_list);
    loop {
        let current = *address.borrow_and_update();
        tokio::select! {
            () = client.watch_address(current) => {}
            Ok(()) = address.changed() => client.policy.address_changed(),
        }
    }
}

/// The client of discovery. It keeps the reconnect state from one watch to the next.
struct DiscoveryClient {
    node: Rc<Node>,
    /// Decides when a watch is given up and when the next one is opened. Its times are durations
    /// since `epoch`.
    policy: ReconnectPolicy,
    epoch: Instant,
    /// Notified when the first list has been applied; `None` afterwards.
    first_list: Option<oneshot::Sender<()>>,
}

impl DiscoveryClient {
    fn new(node: Rc<Node>, first_list: oneshot::Sender<()>) -> DiscoveryClient {
        let policy = ReconnectPolicy::new(node.settings.drain_grace);
        DiscoveryClient {
            node,
            policy,
            epoch: Instant::now(),
            first_list: Some(first_list),
        }
    }

    fn elapsed(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Returns the time at which the open watch is given up if nothing more arrives.
    fn deadline(&self) -> Instant {
        self.epoch + self.policy.deadline()
    }

    /// Opens one watch after another at this address. Never returns.
    async fn watch_address(&mut self, address: SocketAddr) {
        let mut has_failed = false;
        loop {
            self.policy.attempt_started(self.elapsed());
            debug!(event = "watch_opened", %address, "discovery: opening a watch at {address}");
            let Err(error) = self.watch_once(address).await;
            debug!(event = "watch_closed", %address, cause = %ErrorChain(&error), "discovery: watch closed: {}", ErrorChain(&error));
            self.node.watch_ended();
            let now = self.elapsed();
            let failure = error.failure();
            // Failures without a stable watch in between are one loss. Only the first is logged.
            if !has_failed || self.policy.was_stable(now) {
                self.node.watch_lost(address, &anyhow::Error::new(error));
            }
            has_failed = true;
            let next_attempt = self.policy.attempt_failed(now, failure, fastrand::f64());
            sleep_until(self.epoch + next_attempt).await;
        }
    }

    /// Opens a watch and applies its messages until it ends. Returns the reason for the end. The
    /// watch's connection is closed when this returns.
    async fn watch_once(&mut self, address: SocketAddr) -> Result<Infallible, WatchError> {
        let opened = timeout_at(self.deadline(), Watch::open(address)).await;
        let mut watch = opened.map_err(WatchError::NoResponse)??;
        let mut reader = ListReader::default();
        let mut last_sequence = None;
        loop {
            let bytes = self.receive(&mut watch, &mut reader).await?;
            let messages = reader.read(&bytes);
            self.report_events(&messages, reader.has_partial_message());
            self.apply_messages(messages, &mut last_sequence)?;
        }
    }

    /// Waits for the next bytes of a watch. If the watch ends or its deadline passes, applies the
    /// readable entries of an incomplete list.
    async fn receive(
        &mut self,
        watch: &mut Watch,
        reader: &mut ListReader,
    ) -> Result<Bytes, WatchError> {
        let received = match timeout_at(self.deadline(), watch.next_bytes()).await {
            Ok(received) => received,
            // If discovery's machine fails, the connection stays open. Only the missing heartbeats
            // show the failure.
            Err(_) if reader.has_partial_message() => Err(WatchError::Malformed),
            Err(_) => Err(WatchError::Silent),
        };
        if received.is_err() {
            self.apply_entries(&reader.discard_partial());
        }
        received
    }

    /// Reports received data to the reconnect policy: first the complete messages, then the
    /// beginning of an incomplete one.
    fn report_events(&mut self, messages: &[WatchMessage], has_partial_message: bool) {
        let now = self.elapsed();
        if !messages.is_empty() {
            let has_list = messages
                .iter()
                .any(|message| matches!(message, WatchMessage::List(_)));
            let event = if has_list {
                WatchEvent::List
            } else {
                WatchEvent::Heartbeat
            };
            self.policy.event_received(now, event);
        }
        if has_partial_message {
            self.policy.event_received(now, WatchEvent::PartialList);
        }
    }

    /// Applies all messages in order, including those after a malformed one.
    ///
    /// # Errors
    /// Returns [`WatchError::Malformed`] if at least one message was malformed.
    fn apply_messages(
        &mut self,
        messages: Vec<WatchMessage>,
        last_sequence: &mut Option<u64>,
    ) -> Result<(), WatchError> {
        let mut result = Ok(());
        for message in messages {
            match message {
                WatchMessage::Heartbeat => {}
                WatchMessage::List(list) => self.apply_list(&list, last_sequence),
                WatchMessage::Malformed(entries) => {
                    self.apply_entries(&entries);
                    result = Err(WatchError::Malformed);
                }
            }
        }
        result
    }

    /// Applies a list, unless it is a delta that is not newer than the last list of this watch.
    fn apply_list(&mut self, list: &EndpointList, last_sequence: &mut Option<u64>) {
        let is_newer = last_sequence.is_none_or(|last| list.sequence > last);
        if !list.is_snapshot && !is_newer {
            return;
        }
        *last_sequence = Some(list.sequence);
        let kind = if list.is_snapshot {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        self.node.apply_endpoints(kind, &list.entries.readable);
        self.node.endpoint_list_applied(list);
        if let Some(first_list) = self.first_list.take() {
            // The receiver no longer exists if the wait for the first list has timed out.
            let _ = first_list.send(());
        }
    }

    /// Applies the readable entries of a malformed message as a delta, because a draining server
    /// may be among them.
    fn apply_entries(&self, entries: &[EndpointEntry]) {
        if !entries.is_empty() {
            self.node.apply_endpoints(EndpointUpdate::Delta, entries);
        }
    }
}
