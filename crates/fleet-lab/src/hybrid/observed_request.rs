//! A request as observed by its client and the servers.

use crate::world::final_answer::FinalAnswer;
use crate::world::request_record::RequestRecord;
use gateway_core::{CustomerId, GatewayId, ServerId};
use std::time::Duration;

/// A request as a client sends it over a socket. The simulation has another type,
/// [`ClientRequest`](crate::world::client_request::ClientRequest). That type identifies the
/// customer by index, and also holds what the simulation draws in advance, such as the time at
/// which the client disconnects.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Node at which the request arrives.
    pub node: GatewayId,
    /// Customer that the request belongs to.
    pub customer: CustomerId,
    /// Units of the quota that the request consumes.
    pub units: f64,
    /// Whether the request must not run more than once.
    pub is_non_idempotent: bool,
    /// Time for which the client waits for the final answer.
    pub timeout: Duration,
}

/// An answer as its client receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceivedAnswer {
    /// A final answer to this request; if it is a success, a server produced its body.
    Genuine(FinalAnswer),
    /// A success response whose body no server produced for this request. Answers in the simulation
    /// have no content, so only `hybrid` checks this.
    Forged,
}

/// A request, and what the servers and its client have observed of it. An attempt is identified by
/// the server at which it arrived.
#[derive(Debug)]
pub(super) struct ObservedRequest {
    /// Record of the request, its attempts, executions and answers.
    pub(super) record: RequestRecord<SentRequest, ServerId>,
    /// Whether an answer was late. The simulation closes a request by an event when the answer is
    /// overdue. Over sockets, an overdue request stays open, so a late answer may still arrive.
    pub(super) is_late: bool,
}
