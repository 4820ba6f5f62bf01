//! Errors in client requests that are answered before the decision library receives the request.

use hyper::StatusCode;

/// Reason why a client's request is invalid. Its status and its `Display` text are sent to the
/// client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request has a `Transfer-Encoding` header. None is accepted, because a body that also has
    /// a content length could hide another request.
    #[error("a body needs its Content-Length")]
    TransferEncoding,
    /// A header that may occur only once is repeated.
    #[error("a header is repeated")]
    RepeatedHeader,
    /// The request id is missing, is not visible ASCII, or has an invalid length.
    #[error("X-Request-Id: missing, or no word of 1 to 64 bytes")]
    InvalidRequestId,
    /// Another open request has the same id, or a request that must not be executed twice had it
    /// recently.
    #[error("X-Request-Id: in use")]
    RequestIdInUse,
    /// The class header is missing or is not visible ASCII.
    #[error("X-Class: missing")]
    MissingClass,
    /// The settings have no class of that name.
    #[error("X-Class: unknown")]
    UnknownClass,
    /// The plan header is missing, or the settings have no plan of that name.
    #[error("X-Tier: missing or unknown")]
    InvalidPlan,
    /// The first segment of the path is not the class.
    #[error("the path does not begin with the class")]
    PathWithoutClass,
    /// The last segment of the path is not a customer.
    #[error("the path does not end with a customer")]
    PathWithoutCustomer,
    /// The deadline is missing, malformed, or longer than the longest deadline in the settings.
    #[error("X-Deadline: missing or bad")]
    InvalidDeadline,
    /// The call terms are missing, malformed, or out of the range that the settings allow.
    #[error("X-Call-Terms: missing or bad")]
    InvalidCallTerms,
    /// Requests of the class are deduplicated by idempotency key, and this one has no key.
    #[error("Idempotency-Key: missing")]
    MissingIdempotencyKey,
    /// The class requires another method.
    #[error("this class takes another method")]
    WrongMethod,
    /// The body is larger than the maximum size, or is large and exceeds the memory for large bodies
    /// at the moment.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The bodies of other requests use up the memory for bodies at the moment. The request was not
    /// forwarded, so its client may safely retry.
    #[error("no memory for the body at this moment")]
    BodyMemoryExhausted,
    /// The heads of other requests use up the memory for heads at the moment. The request was not
    /// forwarded, so its client may safely retry.
    #[error("no memory for the head at this moment")]
    HeadMemoryExhausted,
    /// The client sent more behind an open request than is kept. The requests that were discarded
    /// were not forwarded, so the client may safely retry them.
    #[error("too many requests behind an open one")]
    TooManyPipelined,
    /// The class allows no body, and the request has one.
    #[error("this class takes no body")]
    UnexpectedBody,
    /// The head did not arrive completely in time.
    #[error("the head did not arrive in time")]
    IncompleteHead,
    /// The edge node closes the connection before the request has arrived: it needs the connection
    /// for another client, or it is shutting down. The request was not forwarded, so its client may
    /// safely retry.
    #[error("the connection is needed for another client")]
    ConnectionNeeded,
    /// The body ended early, took too long, or exceeded its declared length.
    #[error("the body did not come whole")]
    IncompleteBody,
}

impl RequestError {
    /// Returns the HTTP status that is sent to the client.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::TransferEncoding => StatusCode::LENGTH_REQUIRED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyMemoryExhausted
            | RequestError::HeadMemoryExhausted
            | RequestError::TooManyPipelined
            | RequestError::ConnectionNeeded => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}
