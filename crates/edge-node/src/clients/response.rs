//! The responses that clients get.

use super::phase::Phase;
use super::request_error::RequestError;
use crate::node::Answer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// A response whose body is held whole.
pub(super) type BufferedResponse = Response<Full<Bytes>>;

/// Makes a response the last one on its connection.
pub(super) fn close_connection(response: &mut BufferedResponse) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

/// The response to a readiness probe.
pub(super) fn readiness(phase: Phase) -> BufferedResponse {
    match phase {
        Phase::Serving => with_status(StatusCode::OK),
        _ => with_status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// The response to a request that can't be taken. It closes the connection: where one message could
/// not be read, what follows it on the connection can't be trusted either.
pub(super) fn for_invalid_request(error: RequestError) -> BufferedResponse {
    let mut response = Response::new(Full::from(format!("{error}\n")));
    *response.status_mut() = error.status();
    close_connection(&mut response);
    response
}

/// The response for the final answer of a request that was taken.
pub(super) fn from_answer(answer: Answer) -> BufferedResponse {
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Rejected(retry_after) => rejection(retry_after),
        Answer::Failed => with_status(StatusCode::BAD_GATEWAY),
    }
}

fn rejection(retry_after: Option<Duration>) -> BufferedResponse {
    let mut response = with_status(StatusCode::SERVICE_UNAVAILABLE);
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        // A decimal number is always a valid value.
        if let Ok(value) = HeaderValue::try_from(seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

fn with_status(status: StatusCode) -> BufferedResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

#[cfg(test)]
#[path = "../../tests/unit/client_response.rs"]
mod tests;
