//! The open requests of a gateway, and the queue of those that are waiting to be sent.

use super::request::Request;
use crate::types::RequestId;
use std::collections::BTreeMap;

/// All open requests, and the queue of those that are waiting to be sent.
#[derive(Default)]
pub(crate) struct RequestTable {
    open: BTreeMap<RequestId, Request>,
    /// In the order in which they were queued.
    queue: Vec<RequestId>,
}

impl RequestTable {
    /// Whether no request is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Adds a request, which is not queued yet.
    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        self.open.insert(id, request);
    }

    /// An open request.
    pub(crate) fn get(&self, id: &RequestId) -> Option<&Request> {
        self.open.get(id)
    }

    /// An open request, to be changed.
    pub(crate) fn get_mut(&mut self, id: &RequestId) -> Option<&mut Request> {
        self.open.get_mut(id)
    }

    /// Removes a request from the table and from the queue.
    pub(crate) fn remove(&mut self, id: &RequestId) -> Option<Request> {
        let request = self.open.remove(id)?;
        self.dequeue(id);
        Some(request)
    }

    /// All open requests, in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RequestId, &Request)> {
        self.open.iter()
    }

    /// All open requests in the order of their ids, to be changed.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Request> {
        self.open.values_mut()
    }

    /// Appends a request to the queue.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        self.queue.push(id);
    }

    /// Removes a request from the queue; it stays open.
    pub(crate) fn dequeue(&mut self, id: &RequestId) {
        self.queue.retain(|other| other != id);
    }

    /// Whether no request is waiting to be sent.
    pub(crate) fn is_queue_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The requests that are waiting to be sent, in the order in which they were queued.
    pub(crate) fn queued(&self) -> impl Iterator<Item = (&RequestId, &Request)> {
        self.queue
            .iter()
            .filter_map(|id| Some((id, self.open.get(id)?)))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request_table.rs"]
mod tests;
