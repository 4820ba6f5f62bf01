//! A watch that is open, with what has been read on it.

use super::list_reader::{ListReader, WatchMessage};
use super::watch::{WatchConnection, WatchError, WatchId};
use crate::endpoint_list::{EndpointEntry, EndpointList};
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;

/// An open watch. Dropping it closes its connection.
pub(super) struct OpenWatch {
    pub(super) id: WatchId,
    pub(super) address: SocketAddr,
    /// When the watch was opened, as a duration since the client's epoch.
    pub(super) opened_at: Duration,
    /// Whether the response head has arrived.
    pub(super) has_response: bool,
    /// Whether the watch was opened for the current configuration.
    pub(super) is_current: bool,
    reader: ListReader,
    /// Sequence number of the last list; numbers are compared within one watch only.
    last_sequence: Option<u64>,
    _connection: WatchConnection,
}

impl OpenWatch {
    /// Creates a watch that is being opened.
    pub(super) fn new(
        id: WatchId,
        address: SocketAddr,
        now: Duration,
        connection: WatchConnection,
    ) -> OpenWatch {
        OpenWatch {
            id,
            address,
            opened_at: now,
            has_response: false,
            is_current: true,
            reader: ListReader::default(),
            last_sequence: None,
            _connection: connection,
        }
    }

    /// Parses the next bytes. Returns the messages that they complete, in order.
    pub(super) fn read(&mut self, bytes: &Bytes) -> Vec<WatchMessage> {
        self.reader.read(bytes)
    }

    /// Returns the length of the incomplete message that is buffered, in bytes.
    pub(super) fn partial_bytes(&self) -> usize {
        self.reader.partial_bytes()
    }

    /// Returns the readable entries of the incomplete message that is buffered.
    pub(super) fn partial_entries(&self) -> Vec<EndpointEntry> {
        self.reader.partial_entries()
    }

    /// Returns whether a list has arrived on this watch.
    pub(super) fn has_list(&self) -> bool {
        self.last_sequence.is_some()
    }

    /// Records the sequence number of a list. Returns whether the list must be applied: a delta
    /// that is not newer than the last list is outdated.
    pub(super) fn accept_list(&mut self, list: &EndpointList) -> bool {
        let is_newer = self.last_sequence.is_none_or(|last| list.sequence > last);
        if list.is_snapshot || is_newer {
            self.last_sequence = Some(list.sequence);
            return true;
        }
        false
    }

    /// Returns why the watch is lost if its deadline passes now. If discovery's machine fails, the
    /// connection stays open, and only the missing messages show the failure.
    pub(super) fn deadline_error(&self) -> WatchError {
        if !self.has_response {
            WatchError::NoResponse
        } else if self.partial_bytes() > 0 {
            WatchError::Malformed
        } else {
            WatchError::Silent
        }
    }
}
