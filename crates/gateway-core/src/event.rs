//! Events: everything that a gateway learns about the world.

use crate::types::{
    AttemptNumber, AttemptOutcome, ClassId, CustomerId, Endpoint, EndpointUpdate, GatewayId,
    GatewaySet, PlanId, RequestId,
};
use crate::units::Units;
use std::time::Duration;

/// Input of [`Gateway::handle`](crate::Gateway::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointsUpdated {
        /// Whether `endpoints` is the whole list or only what changed.
        kind: EndpointUpdate,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// The endpoint list could not be fetched, or is no longer watched; the last one stays in force.
    WatchFailed,
    /// A client's request has arrived.
    RequestReceived {
        /// Its id, unique for ever.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// The plan of its customer.
        plan: PlanId,
        /// Its customer.
        customer: CustomerId,
        /// Quota units that it consumes.
        units: Units,
        /// The gateways that the customer's requests come through.
        gateways: GatewaySet,
        /// How long the client waits for an answer, in µs from now.
        client_timeout: Duration,
    },
    /// The server has begun to stream its answer: the attempt belongs to the client now and has no deadline.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended. Every attempt that was sent gets exactly one of these.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Whether the request is closed: its client has its final answer and nothing more is owed.
        closed: bool,
        /// Requests in flight at the server, if its answer reported them.
        reported_load: Option<f64>,
    },
    /// The client no longer waits for this request.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    TimerFired {
        /// The token of that action.
        token: u64,
    },
    /// A message from another gateway.
    PeerMessage {
        /// The sender.
        from: GatewayId,
        /// The encoded message; it may be stale, repeated or malformed.
        bytes: Vec<u8>,
    },
}
