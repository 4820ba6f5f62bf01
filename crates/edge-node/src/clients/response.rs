//! Responses to clients.

use super::phase::Phase;
use super::request_error::RequestError;
use crate::node::Answer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

const MICROS_PER_MILLI: u128 = 1000;
const MILLIS_PER_SECOND: u128 = 1000;

/// A response whose complete body is in memory.
pub(super) type BufferedResponse = Response<Full<Bytes>>;

/// Adds the header that makes a response the last one on its connection.
pub(super) fn close_connection(response: &mut BufferedResponse) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Returns the response to a readiness probe.
pub(super) fn readiness(phase: Phase) -> BufferedResponse {
    match phase {
        Phase::Serving => empty_response(StatusCode::OK),
        _ => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Returns the response to an invalid request. It closes the connection: if one message could not
/// be parsed, the data that follows it on the connection can't be trusted either.
pub(super) fn for_invalid_request(error: RequestError) -> BufferedResponse {
    let mut response = Response::new(Full::from(format!("{error}\n")));
    *response.status_mut() = error.status();
    close_connection(&mut response);
    response
}

/// Returns the response for the final answer to a valid request.
pub(super) fn from_answer(answer: Answer) -> BufferedResponse {
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Rejected(retry_after) => rejection(retry_after),
        Answer::Failed => empty_response(StatusCode::BAD_GATEWAY),
    }
}

fn rejection(retry_after: Option<Duration>) -> BufferedResponse {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if let Some(retry_after) = retry_after {
        // Rounded up: a client that returns a moment too early is rejected again.
        let milliseconds = retry_after.as_micros().div_ceil(MICROS_PER_MILLI);
        let seconds = format!(
            "{}.{:03}",
            milliseconds / MILLIS_PER_SECOND,
            milliseconds % MILLIS_PER_SECOND
        );
        // A decimal number is always a valid header value.
        if let Ok(value) = HeaderValue::try_from(seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

fn empty_response(status: StatusCode) -> BufferedResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

#[cfg(test)]
#[path = "../../tests/unit/client_response.rs"]
mod tests;
