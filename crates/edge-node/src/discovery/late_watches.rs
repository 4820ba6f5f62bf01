//! The late watches: watches that have missed their deadline, or that were opened for an earlier
//! configuration. They stay open until another watch delivers its first list.

use super::list_reader::MAX_LIST_BYTES;
use super::open_watch::OpenWatch;
use super::watch::WatchId;
use gateway_core::reconnect::late_watches;
use std::time::Duration;

/// The late watches of the discovery client.
#[derive(Default)]
pub(super) struct LateWatches {
    /// Watches without a list, in the order in which they were opened.
    waiting: Vec<OpenWatch>,
    /// The watch that delivered a list last, until another one does.
    previous: Option<OpenWatch>,
}

impl LateWatches {
    /// Adds a watch. Returns the watches that are given up instead, which the caller must close.
    pub(super) fn insert(&mut self, watch: OpenWatch, now: Duration) -> Vec<OpenWatch> {
        if watch.has_list() {
            return self.previous.replace(watch).into_iter().collect();
        }
        let position = self
            .waiting
            .partition_point(|other| other.opened_at <= watch.opened_at);
        self.waiting.insert(position, watch);
        self.remove_surplus(now)
    }

    /// Removes and returns the watches that must be given up.
    pub(super) fn remove_surplus(&mut self, now: Duration) -> Vec<OpenWatch> {
        let mut removed = Vec::new();
        while let Some(index) = late_watches::surplus(&self.opening_times(), now) {
            removed.push(self.waiting.remove(index));
        }
        removed
    }

    fn opening_times(&self) -> Vec<Duration> {
        self.waiting.iter().map(|watch| watch.opened_at).collect()
    }

    /// Returns a late watch; `None` if there is none with this id.
    pub(super) fn get_mut(&mut self, id: WatchId) -> Option<&mut OpenWatch> {
        let mut watches = self.waiting.iter_mut().chain(&mut self.previous);
        watches.find(|watch| watch.id == id)
    }

    /// Removes and returns a late watch; `None` if there is none with this id.
    pub(super) fn remove(&mut self, id: WatchId) -> Option<OpenWatch> {
        if let Some(position) = self.waiting.iter().position(|watch| watch.id == id) {
            return Some(self.waiting.remove(position));
        }
        self.previous.take_if(|watch| watch.id == id)
    }

    /// Marks all watches as opened for an earlier configuration: their messages are applied, and
    /// they don't end the search for a watch that delivers a list.
    pub(super) fn mark_outdated(&mut self) {
        for watch in self.waiting.iter_mut().chain(&mut self.previous) {
            watch.is_current = false;
        }
    }

    /// Returns the id of the watch with the longest incomplete message if all incomplete messages
    /// together are longer than a list may be. That watch must be given up.
    pub(super) fn over_memory_limit(&self) -> Option<WatchId> {
        let watches = || self.waiting.iter().chain(&self.previous);
        let total: usize = watches().map(OpenWatch::partial_bytes).sum();
        let longest = watches().max_by_key(|watch| watch.partial_bytes());
        longest
            .filter(|_| total > MAX_LIST_BYTES)
            .map(|watch| watch.id)
    }

    /// Closes all watches.
    pub(super) fn close_all(&mut self) {
        self.waiting.clear();
        self.previous = None;
    }
}
