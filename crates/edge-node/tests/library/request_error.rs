//! Tests what a client is sent for each invalid request: programs read the status, people the text.

use edge_node::clients::request_error::RequestError;

#[test]
fn errors_have_stable_status_and_text() {
    let expected = [
        (
            RequestError::TransferEncoding,
            411,
            "a body needs its Content-Length",
        ),
        (RequestError::RepeatedHeader, 400, "a header is repeated"),
        (
            RequestError::InvalidRequestId,
            400,
            "X-Request-Id: missing, or no word of 1 to 64 bytes",
        ),
        (RequestError::RequestIdInUse, 400, "X-Request-Id: in use"),
        (RequestError::MissingClass, 400, "X-Class: missing"),
        (RequestError::UnknownClass, 400, "X-Class: unknown"),
        (RequestError::InvalidPlan, 400, "X-Tier: missing or unknown"),
        (
            RequestError::PathWithoutClass,
            400,
            "the path does not begin with the class",
        ),
        (
            RequestError::PathWithoutCustomer,
            400,
            "the path does not end with a customer",
        ),
        (
            RequestError::InvalidDeadline,
            400,
            "X-Deadline: missing or bad",
        ),
        (
            RequestError::InvalidCallTerms,
            400,
            "X-Call-Terms: missing or bad",
        ),
        (
            RequestError::MissingIdempotencyKey,
            400,
            "Idempotency-Key: missing",
        ),
        (
            RequestError::WrongMethod,
            400,
            "this class takes another method",
        ),
        (RequestError::BodyTooLarge, 413, "the body is too large"),
        (
            RequestError::BodyMemoryExhausted,
            503,
            "no memory for the body at this moment",
        ),
        (
            RequestError::UnexpectedBody,
            400,
            "this class takes no body",
        ),
        (
            RequestError::IncompleteBody,
            400,
            "the body did not come whole",
        ),
    ];
    for (error, status, text) in expected {
        assert_eq!(
            (error.status().as_u16(), error.to_string().as_str()),
            (status, text),
            "{error:?}"
        );
    }
}
