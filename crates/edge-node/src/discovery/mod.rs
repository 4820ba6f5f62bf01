//! Discovery: watches on the list of servers, of which a new one is opened whenever the last one
//! ends, falls silent or becomes unreadable.
//!
//! The platform expects the edge node to know the endpoints that the discovery agent on this
//! machine has, even if no watch is open at the time. A failed watch is therefore detected,
//! reopened and read well within the drain grace. A watch without an answer stays open beside the
//! next ones: an agent that answers slowly would otherwise never be understood.
//!
//! Each watch requests a snapshot. The first watch that delivers one is used from then on, and all
//! others are closed. Sequence numbers are compared within one watch only.

mod late_watches;
mod list_reader;
mod open_watch;
mod watch;

use crate::endpoint_list::{EndpointEntry, EndpointList};
use crate::log::ErrorChain;
use crate::node::Node;
use bytes::Bytes;
use gateway_core::reconnect::{ReconnectPolicy, WatchEvent as PolicyEvent};
use gateway_core::EndpointUpdate;
use late_watches::LateWatches;
use list_reader::WatchMessage;
use open_watch::OpenWatch;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch as watch_channel};
use tokio::time::{sleep_until, Instant};
use tracing::debug;
use watch::{WatchConnection, WatchError, WatchEvent, WatchId, WatchInput};

/// Number of events of all watches together that wait to be handled.
const INPUT_CAPACITY: usize = 1;

/// Keeps the node's endpoints up to date until the process ends, and switches to another discovery
/// address when it changes. While discovery is unreachable, the last list stays in use.
/// `known_list` is applied first, before discovery has answered; `first_list` is notified when the
/// first list from discovery has been applied.
pub(crate) async fn watch_endpoints(
    node: Rc<Node>,
    mut address: watch_channel::Receiver<SocketAddr>,
    known_list: Option<EndpointList>,
    first_list: oneshot::Sender<()>,
) {
    if let Some(known_list) = known_list {
        node.apply_endpoints(EndpointUpdate::Snapshot, &known_list.entries.readable);
    }
    let (input_sender, mut inputs) = mpsc::channel(INPUT_CAPACITY);
    let current = *address.borrow_and_update();
    let mut client = DiscoveryClient::new(node, current, input_sender, first_list);
    client.open_watch();
    loop {
        let wake_time = client.wake_time();
        tokio::select! {
            // What has arrived is handled before a deadline that has passed in the meantime.
            biased;
            Ok(()) = address.changed() => client.change_address(*address.borrow_and_update()),
            Some(input) = inputs.recv() => client.handle_input(input),
            () = sleep_until(wake_time) => client.handle_timeout(),
        }
    }
}

/// The client of discovery. It keeps the reconnect state from one watch to the next.
struct DiscoveryClient {
    node: Rc<Node>,
    address: SocketAddr,
    /// Decides when the newest watch is lost and when the next one is opened. Its times are
    /// durations since `epoch`.
    policy: ReconnectPolicy,
    epoch: Instant,
    /// The watch that was opened last, or that has delivered a list; `None` while no watch may be
    /// opened yet.
    newest: Option<OpenWatch>,
    late: LateWatches,
    /// When the next watch is opened if `newest` is `None`.
    next_attempt: Duration,
    next_id: u64,
    input_sender: mpsc::Sender<WatchInput>,
    /// Whether a watch has failed since the address was set.
    has_failed: bool,
    /// Notified when the first list has been applied; `None` afterwards.
    first_list: Option<oneshot::Sender<()>>,
}

impl DiscoveryClient {
    fn new(
        node: Rc<Node>,
        address: SocketAddr,
        input_sender: mpsc::Sender<WatchInput>,
        first_list: oneshot::Sender<()>,
    ) -> DiscoveryClient {
        let policy = ReconnectPolicy::new(node.settings.drain_grace);
        DiscoveryClient {
            node,
            address,
            policy,
            epoch: Instant::now(),
            newest: None,
            late: LateWatches::default(),
            next_attempt: Duration::ZERO,
            next_id: 0,
            input_sender,
            has_failed: false,
            first_list: Some(first_list),
        }
    }

    fn elapsed(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) must be called.
    fn wake_time(&self) -> Instant {
        let time = match self.newest {
            Some(_) => self.policy.deadline(),
            None => self.next_attempt,
        };
        self.epoch + time
    }

    /// Opens a watch at the current address, which becomes the newest one.
    fn open_watch(&mut self) {
        let now = self.elapsed();
        let address = self.address;
        let id = WatchId(self.next_id);
        self.next_id += 1;
        self.policy.attempt_started(now);
        debug!(event = "watch_opened", watch = id.0, %address, "discovery: opening watch {} at {address}", id.0);
        let connection = WatchConnection::open(id, address, self.input_sender.clone());
        self.newest = Some(OpenWatch::new(id, address, now, connection));
    }

    /// Opens a watch at the new address. The watches at the old one stay open until another watch
    /// delivers a list: what they still report is newer than the last list.
    fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.has_failed = false;
        self.policy.address_changed();
        if let Some(watch) = self.newest.take() {
            self.keep_late(watch);
        }
        self.late.mark_outdated();
        self.open_watch();
    }

    /// Handles the deadline of the newest watch, or the end of a backoff.
    fn handle_timeout(&mut self) {
        let Some(watch) = self.newest.take() else {
            self.open_watch();
            return;
        };
        self.apply_entries(&watch.partial_entries());
        self.schedule_next_attempt(&watch, watch.deadline_error());
        self.keep_late(watch);
    }

    /// Keeps a watch open beside the next ones, and closes those that are given up instead.
    fn keep_late(&mut self, watch: OpenWatch) {
        let surplus = self.late.insert(watch, self.elapsed());
        self.give_up(surplus);
    }

    fn give_up(&self, watches: Vec<OpenWatch>) {
        for watch in watches {
            let id = watch.id.0;
            debug!(event = "watch_closed", watch = id, address = %watch.address, cause = "replaced", "discovery: watch {id} given up for another one");
            self.apply_entries(&watch.partial_entries());
        }
    }

    /// Records the loss of the newest watch, and schedules the next one.
    fn schedule_next_attempt(&mut self, watch: &OpenWatch, error: WatchError) {
        self.node.watch_ended();
        let now = self.elapsed();
        let failure = error.failure();
        // Failures without a stable watch in between are one loss. Only the first is logged.
        if !self.has_failed || self.policy.was_stable(now) {
            self.node
                .watch_lost(watch.address, &anyhow::Error::new(error));
        }
        self.has_failed = true;
        self.next_attempt = self.policy.attempt_failed(now, failure, fastrand::f64());
    }

    fn handle_input(&mut self, (id, event): WatchInput) {
        if self.newest.as_ref().is_some_and(|watch| watch.id == id) {
            self.handle_newest(event);
        } else {
            self.handle_late(id, event);
        }
    }

    fn handle_newest(&mut self, event: WatchEvent) {
        let Some(mut watch) = self.newest.take() else {
            return;
        };
        let result = match event {
            WatchEvent::Opened => {
                watch.has_response = true;
                Ok(())
            }
            WatchEvent::Received(bytes) => self.receive(&mut watch, &bytes),
            WatchEvent::Ended(error) => Err(error),
        };
        match result {
            Ok(()) => self.newest = Some(watch),
            Err(error) => self.close_newest(watch, error),
        }
    }

    fn close_newest(&mut self, watch: OpenWatch, error: WatchError) {
        log_closed(&watch, &error);
        self.apply_entries(&watch.partial_entries());
        self.schedule_next_attempt(&watch, error);
    }

    /// Handles bytes on the newest watch. Once it has delivered a list, the late watches are
    /// closed.
    ///
    /// # Errors
    /// Returns [`WatchError::Malformed`] if at least one message was malformed.
    fn receive(&mut self, watch: &mut OpenWatch, bytes: &Bytes) -> Result<(), WatchError> {
        let messages = watch.read(bytes);
        self.report_events(&messages, watch.partial_bytes() > 0);
        let result = self.apply_messages(watch, messages);
        if watch.has_list() {
            self.late.close_all();
        }
        result
    }

    /// Handles an event on a late watch. A watch that has been closed in the meantime is unknown.
    fn handle_late(&mut self, id: WatchId, event: WatchEvent) {
        match event {
            WatchEvent::Opened => {
                if let Some(watch) = self.late.get_mut(id) {
                    watch.has_response = true;
                }
            }
            WatchEvent::Received(bytes) => self.receive_late(id, &bytes),
            WatchEvent::Ended(error) => {
                if let Some(watch) = self.late.remove(id) {
                    log_closed(&watch, &error);
                    self.apply_entries(&watch.partial_entries());
                }
            }
        }
    }

    fn receive_late(&mut self, id: WatchId, bytes: &Bytes) {
        let Some(mut watch) = self.late.remove(id) else {
            return;
        };
        let had_list = watch.has_list();
        let messages = watch.read(bytes);
        if let Err(error) = self.apply_messages(&mut watch, messages) {
            log_closed(&watch, &error);
            return;
        }
        // A watch that had fallen silent may have missed changes, and an outdated one leads to the
        // wrong address: only a first list ends the search.
        let delivers_first_list = !had_list && watch.has_list();
        if delivers_first_list && watch.is_current {
            self.adopt(watch);
            return;
        }
        self.keep_late(watch);
        self.limit_memory();
    }

    /// Uses a late watch that has delivered its first list, and closes all others.
    fn adopt(&mut self, watch: OpenWatch) {
        let now = self.elapsed();
        let id = watch.id.0;
        let waited_ms = now.saturating_sub(watch.opened_at).as_millis();
        debug!(event = "watch_answered_late", watch = id, address = %watch.address, waited_ms, "discovery: watch {id} answered after {waited_ms} ms");
        self.late.close_all();
        self.newest = Some(watch);
        self.policy.attempt_started(now);
        self.policy.event_received(now, PolicyEvent::List);
    }

    fn limit_memory(&mut self) {
        while let Some(id) = self.late.over_memory_limit() {
            let watch = self.late.remove(id);
            self.give_up(watch.into_iter().collect());
        }
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
                PolicyEvent::List
            } else {
                PolicyEvent::Heartbeat
            };
            self.policy.event_received(now, event);
        }
        if has_partial_message {
            self.policy.event_received(now, PolicyEvent::PartialList);
        }
    }

    /// Applies all messages in order, including those after a malformed one.
    ///
    /// # Errors
    /// Returns [`WatchError::Malformed`] if at least one message was malformed.
    fn apply_messages(
        &mut self,
        watch: &mut OpenWatch,
        messages: Vec<WatchMessage>,
    ) -> Result<(), WatchError> {
        let mut result = Ok(());
        for message in messages {
            match message {
                WatchMessage::Heartbeat => {}
                WatchMessage::List(list) => self.apply_list(watch, &list),
                WatchMessage::Malformed(entries) => {
                    self.apply_entries(&entries);
                    result = Err(WatchError::Malformed);
                }
            }
        }
        result
    }

    /// Applies a list, unless it is a delta that is not newer than the last list of its watch.
    fn apply_list(&mut self, watch: &mut OpenWatch, list: &EndpointList) {
        if !watch.accept_list(list) {
            return;
        }
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

    /// Applies the readable entries of a malformed or incomplete message as a delta, because a
    /// draining server may be among them.
    fn apply_entries(&self, entries: &[EndpointEntry]) {
        if !entries.is_empty() {
            self.node.apply_endpoints(EndpointUpdate::Delta, entries);
        }
    }
}

fn log_closed(watch: &OpenWatch, error: &WatchError) {
    let id = watch.id.0;
    let cause = ErrorChain(error);
    debug!(event = "watch_closed", watch = id, address = %watch.address, %cause, "discovery: watch {id} closed: {cause}");
}
