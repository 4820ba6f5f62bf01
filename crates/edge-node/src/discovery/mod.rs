//! Discovery: a watch on the list of servers, opened again whenever it ends, falls silent or
//! can't be read.
//!
//! The platform holds the edge node to what the agent on this machine has, whether or not a watch
//! is open on it. So a watch that fails is noticed, opened again and read well inside the drain
//! grace. Each watch asks for a snapshot: it arrives at once or not at all, and sequence numbers
//! are compared within one watch only.

mod list_reader;
mod watch;

use crate::endpoint_list::{EndpointEntry, EndpointList};
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
use watch::{Watch, WatchError};

/// Keeps the node's endpoints up to date for ever, and changes over when discovery gets another
/// address. While discovery can't be reached the last list stays in force. `known` is the list to
/// begin with; `first_list` is notified of the first one that arrives.
///
/// When the address changes, the future that watches the old one is dropped: its connection is
/// closed. A list is applied without waiting in between, so none is left half applied.
pub(crate) async fn watch_endpoints(
    node: Rc<Node>,
    mut address: watch_channel::Receiver<SocketAddr>,
    known: Option<EndpointList>,
    first_list: oneshot::Sender<()>,
) {
    if let Some(known) = known {
        node.apply_endpoints(EndpointUpdate::Snapshot, &known.entries.readable);
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

/// The client of discovery, which outlives each of its watches.
struct DiscoveryClient {
    node: Rc<Node>,
    /// When watches are given up and opened. Its times are spans since `epoch`.
    policy: ReconnectPolicy,
    epoch: Instant,
    /// Notified of the first list; `None` once that has been done.
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

    /// When the open watch is given up if nothing more arrives.
    fn deadline(&self) -> Instant {
        self.epoch + self.policy.deadline()
    }

    /// Opens one watch after the other at this address, for ever.
    async fn watch_address(&mut self, address: SocketAddr) {
        let mut has_failed = false;
        loop {
            self.policy.attempt_started(self.elapsed());
            let Err(error) = self.watch_once(address).await;
            self.node.watch_ended();
            let now = self.elapsed();
            let failure = error.failure();
            // Attempts that go on failing are one loss, of which only the first is logged.
            if !has_failed || self.policy.was_stable(now) {
                self.node.watch_lost(address, &anyhow::Error::new(error));
            }
            has_failed = true;
            let next_attempt = self.policy.attempt_failed(now, failure, fastrand::f64());
            sleep_until(self.epoch + next_attempt).await;
        }
    }

    /// Opens a watch and applies what arrives until it ends. The watch is dropped then, which
    /// closes its connection.
    async fn watch_once(&mut self, address: SocketAddr) -> Result<Infallible, WatchError> {
        let opened = timeout_at(self.deadline(), Watch::open(address)).await;
        let mut watch = opened.map_err(WatchError::NoAnswer)??;
        let mut reader = ListReader::default();
        let mut last_sequence = None;
        loop {
            let bytes = self.receive(&mut watch, &mut reader).await?;
            let messages = reader.read(&bytes);
            self.report_events(&messages, reader.has_partial_message());
            self.apply_messages(messages, &mut last_sequence)?;
        }
    }

    /// Waits for the next bytes of a watch. If there are none, what can be read of a list that was
    /// cut off is applied.
    async fn receive(
        &mut self,
        watch: &mut Watch,
        reader: &mut ListReader,
    ) -> Result<Bytes, WatchError> {
        let received = match timeout_at(self.deadline(), watch.next_bytes()).await {
            Ok(received) => received,
            // A machine that fails keeps its connections open: only the missing heartbeats show it.
            Err(_) if reader.has_partial_message() => Err(WatchError::Malformed),
            Err(_) => Err(WatchError::Silent),
        };
        if received.is_err() {
            self.apply_entries(&reader.discard_partial());
        }
        received
    }

    /// Reports to the policy what has arrived: complete messages first, then the beginning of the
    /// next one.
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

    /// Applies all messages in their order, also those behind one that could not be read.
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

    /// Applies a list, unless it holds changes that are no newer than the last list of this watch.
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
            // The receiver is gone if its wait for the first list has timed out.
            let _ = first_list.send(());
        }
    }

    /// Applies the entries that could be read of something malformed as changes, because drains may
    /// be among them.
    fn apply_entries(&self, entries: &[EndpointEntry]) {
        if !entries.is_empty() {
            self.node.apply_endpoints(EndpointUpdate::Delta, entries);
        }
    }
}
