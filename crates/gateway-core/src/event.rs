//! Events: what the embedding program reports to a gateway.

use crate::types::{
    AttemptNumber, AttemptOutcome, ClassId, CustomerId, Endpoint, EndpointUpdate, GatewayId,
    GatewaySet, PlanId, RequestId,
};
use crate::units::Units;
use std::time::Duration;

/// An input of [`Gateway::handle`](crate::Gateway::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointsUpdated {
        /// Whether `endpoints` is the complete list or only its changes.
        kind: EndpointUpdate,
        /// The endpoints, in the order in which discovery reported them.
        endpoints: Vec<Endpoint>,
    },
    /// The endpoint list could not be fetched, or its watch has ended. The last list stays in
    /// force.
    WatchFailed,
    /// A client's request has arrived.
    RequestReceived {
        /// Id of the request, which must not be used for any other request.
        id: RequestId,
        /// Class of the request. A request of an unknown class fails.
        class: ClassId,
        /// Plan of the customer. A request of an unknown plan fails.
        plan: PlanId,
        /// The customer whose quota the request consumes.
        customer: CustomerId,
        /// Quota units that the request consumes; a negative number counts as 0.
        units: Units,
        /// The gateways that receive the customer's requests.
        gateways: GatewaySet,
        /// How long the client waits for its answer, counted from the time of this event.
        client_timeout: Duration,
    },
    /// The server has begun to stream its answer to the client. From then on the attempt has no
    /// deadline, and the gateway does not cancel it.
    StreamStarted {
        /// Id of the request; the event is ignored if no such request is open.
        id: RequestId,
    },
    /// An attempt has ended. Each [`Action::SendAttempt`](crate::Action::SendAttempt) is followed
    /// by exactly one such event, even if the attempt was cancelled.
    AttemptFinished {
        /// Id of the request from its [`Action::SendAttempt`](crate::Action::SendAttempt).
        id: RequestId,
        /// The number of the attempt within the request.
        attempt: AttemptNumber,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Whether the client has received the final answer, which closes the request.
        closed: bool,
        /// Number of requests in flight at the server; `None` if its answer had no load report.
        reported_load: Option<f64>,
    },
    /// The client no longer waits for an answer to this request.
    ClientDisconnected {
        /// Id of the request; the event is ignored if no such request is open.
        id: RequestId,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    TimerFired {
        /// The token of that action, which the gateway ignores.
        token: u64,
    },
    /// A message from another gateway has arrived.
    PeerMessage {
        /// The gateway that sent the message.
        from: GatewayId,
        /// The encoded message, which may have been delayed or duplicated, and may be malformed.
        bytes: Vec<u8>,
    },
}
