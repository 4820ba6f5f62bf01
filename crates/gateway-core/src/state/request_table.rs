//! The open requests of a gateway, and the queue of requests that wait to be sent.

use super::request::Request;
use crate::types::RequestId;
use std::collections::BTreeMap;

/// All open requests, and the queue of requests that wait to be sent.
#[derive(Default)]
pub(crate) struct RequestTable {
    open: BTreeMap<RequestId, Request>,
    /// Ids of the queued requests, in the order in which they were queued.
    queue: Vec<RequestId>,
}

impl RequestTable {
    /// Returns whether no request is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Adds an open request, without queueing it.
    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        self.open.insert(id, request);
    }

    /// Returns an open request, or `None` if no open request has the id.
    pub(crate) fn get(&self, id: &RequestId) -> Option<&Request> {
        self.open.get(id)
    }

    /// Returns a mutable reference to an open request, or `None` if no open request has the id.
    pub(crate) fn get_mut(&mut self, id: &RequestId) -> Option<&mut Request> {
        self.open.get_mut(id)
    }

    /// Removes a request from the table and from the queue, and returns it.
    pub(crate) fn remove(&mut self, id: &RequestId) -> Option<Request> {
        let request = self.open.remove(id)?;
        self.dequeue(id);
        Some(request)
    }

    /// Iterates over all open requests, ordered by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RequestId, &Request)> {
        self.open.iter()
    }

    /// Iterates mutably over all open requests, ordered by id.
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

    /// Returns whether no request waits to be sent.
    pub(crate) fn is_queue_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Iterates over the requests that wait to be sent, in the order in which they were queued.
    pub(crate) fn queued(&self) -> impl Iterator<Item = (&RequestId, &Request)> {
        self.queue
            .iter()
            .filter_map(|id| Some((id, self.open.get(id)?)))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request_table.rs"]
mod tests;
