//! A request as its client and the servers observe it.

use crate::world::final_answer::FinalAnswer;
use crate::world::request_record::RequestRecord;
use gateway_core::{CustomerId, GatewayId, ServerId};
use std::time::Duration;

/// A request as a client sends it over a socket. The simulation's
/// [`ClientRequest`](crate::world::client_request::ClientRequest) is another type: it also says what the client will do,
/// which the simulation decides beforehand, and it names the customer by index.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The node at which it arrives.
    pub node: GatewayId,
    /// The customer whose request it is.
    pub customer: CustomerId,
    /// What it consumes of the quota.
    pub units: f64,
    /// Whether it must not run twice.
    pub is_non_idempotent: bool,
    /// How long the client waits.
    pub timeout: Duration,
}

/// A final answer as its client receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceivedAnswer {
    /// A final answer to this request.
    Genuine(FinalAnswer),
    /// A server's answer that no server made for this request. In the simulation answers have no content, so only here
    /// it is checked.
    Forged,
}

/// A request, and what servers and its client observed of it. An attempt is known by the server at which it arrived.
#[derive(Debug)]
pub(super) struct ObservedRequest {
    /// What was observed.
    pub(super) record: RequestRecord<SentRequest, ServerId>,
    /// One of the answers was late. The simulation closes a request by an event when its answer is overdue; here
    /// nothing does, so an answer may still come.
    pub(super) is_late: bool,
}
