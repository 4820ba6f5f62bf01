//! Why a client's request is rejected before the decision library sees it.

use hyper::StatusCode;

/// A request that can't be taken. Its `Display` text and its status are what the client is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The body has a transfer encoding.
    #[error("a body needs its Content-Length")]
    TransferEncoding,
    /// A header that may occur once occurs more often.
    #[error("a header is repeated")]
    RepeatedHeader,
    /// No request id, or none of a valid length.
    #[error("X-Request-Id: missing, or no word of 1 to 64 bytes")]
    InvalidRequestId,
    /// Another open request has the same id.
    #[error("X-Request-Id: in use")]
    RequestIdInUse,
    /// No class.
    #[error("X-Class: missing")]
    MissingClass,
    /// A class that the settings don't have.
    #[error("X-Class: unknown")]
    UnknownClass,
    /// No plan, or one that the settings don't have.
    #[error("X-Tier: missing or unknown")]
    InvalidPlan,
    /// The first segment of the path isn't the class.
    #[error("the path does not begin with the class")]
    PathWithoutClass,
    /// The last segment of the path isn't a customer.
    #[error("the path does not end with a customer")]
    PathWithoutCustomer,
    /// No deadline, one that can't be read, or one beyond the longest of the settings.
    #[error("X-Deadline: missing or bad")]
    InvalidDeadline,
    /// No call terms, or terms that can't be read or are beyond the settings.
    #[error("X-Call-Terms: missing or bad")]
    InvalidCallTerms,
    /// The class is deduplicated by a key, and the request has none.
    #[error("Idempotency-Key: missing")]
    MissingIdempotencyKey,
    /// The class is called with another method.
    #[error("this class takes another method")]
    WrongMethod,
    /// The body is larger than any that is taken, or than memory allows at this moment.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The class has no body, and the request has one.
    #[error("this class takes no body")]
    UnexpectedBody,
    /// The body ended early, took too long or was longer than it said.
    #[error("the body did not come whole")]
    IncompleteBody,
}

impl RequestError {
    /// The status that the client is sent.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::TransferEncoding => StatusCode::LENGTH_REQUIRED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}
