//! Events: everything that a gateway is notified of by the embedding program.

use crate::types::{
    AttemptNumber, AttemptOutcome, ClassId, CustomerId, Endpoint, EndpointUpdate, GatewayId,
    GatewaySet, PlanId, RequestId,
};
use crate::units::Units;
use std::time::Duration;

/// Something that has happened; the input of [`Gateway::handle`](crate::Gateway::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointsUpdated {
        /// Whether `endpoints` is the complete list or only what has changed.
        kind: EndpointUpdate,
        /// The endpoints, in the order in which discovery reported them.
        endpoints: Vec<Endpoint>,
    },
    /// The endpoint list could not be fetched, or its watch has ended. The last list stays in
    /// force.
    WatchFailed,
    /// A client's request has arrived.
    RequestReceived {
        /// Its id, which must not be used for any other request.
        id: RequestId,
        /// Its class. A request of an unknown class fails.
        class: ClassId,
        /// The plan of its customer. A request of an unknown plan fails.
        plan: PlanId,
        /// Its customer, whose quota it consumes.
        customer: CustomerId,
        /// Quota units that it consumes; a negative number counts as 0.
        units: Units,
        /// The gateways that receive the customer's requests.
        gateways: GatewaySet,
        /// How long the client waits for its answer, from the time of this event on.
        client_timeout: Duration,
    },
    /// The server has begun to stream its answer to the client. From now on the attempt has no
    /// deadline, and the gateway does not cancel it.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended. Each [`Action::SendAttempt`](crate::Action::SendAttempt) is followed
    /// by exactly one such event, also if the attempt was cancelled.
    AttemptFinished {
        /// The request of the attempt.
        id: RequestId,
        /// The number of the attempt within the request.
        attempt: AttemptNumber,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Whether the request is closed, because its client has received the final answer.
        closed: bool,
        /// Requests in flight at the server, if its answer contained a load report.
        reported_load: Option<f64>,
    },
    /// The client no longer waits for an answer to this request.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    TimerFired {
        /// The token that was given in that action.
        token: u64,
    },
    /// A message from another gateway has arrived.
    PeerMessage {
        /// The gateway that sent it.
        from: GatewayId,
        /// The encoded message. It may be delayed, duplicated or malformed.
        bytes: Vec<u8>,
    },
}
