//! Reads and validates the response to a request.

use super::attempt_result::AttemptResult;
use crate::body::{self, BodyBudget, BodyBuffer, BodyError};
use gateway_core::{load_report, AttemptOutcome, RequestId};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use thiserror::Error;

/// Header by which a server may name the request that it answers.
pub(super) const REQUEST_ID: &str = "x-request-id";
/// Header by which a server reports its load.
const LOAD: &str = "x-load";
/// Header, with the value `1`, by which a server states that it has not executed the request.
const NOT_RUN: &str = "x-not-run";

/// Reason why a response is not used. Its connection is in an unknown state and must be closed.
#[derive(Debug, Error)]
pub(super) enum ResponseError {
    /// The response names the request that was previously answered on this connection.
    #[error("the response is a copy of the previous response")]
    RepeatsPrevious,
    /// The status is 1xx.
    #[error("the response is informational")]
    Informational,
    /// The response has neither a content length nor a transfer encoding.
    #[error("the response has neither a content length nor a transfer encoding")]
    Unframed,
    /// Bytes that are no response follow the response, so that it may be only the start of the one
    /// that the server made.
    #[error("unknown bytes follow the response")]
    Surplus,
    /// The body is too large, exceeds the rest of the body budget, or ended early.
    #[error("the response body cannot be read")]
    Body(#[from] BodyError),
}

/// Reads a complete response, so that no client ever receives a truncated one. `previous` is the
/// request that was previously answered on the same connection.
///
/// If the future is dropped, the rest of the body remains unread and the connection must not be
/// used again.
///
/// # Errors
/// Returns an error if the response is not for this request, is incomplete, or is too large.
pub(super) async fn read(
    response: Response<Incoming>,
    previous: Option<&RequestId>,
    budget: &BodyBudget,
) -> Result<AttemptResult, ResponseError> {
    check_head(&response, previous)?;
    let buffer = BodyBuffer::new(response.body(), budget)?;
    let outcome = classify(&response);
    let reported_load = reported_load(response.headers());
    let body = body::read(&mut response.into_body(), buffer).await?;
    let body = (outcome == AttemptOutcome::Success).then_some(body);
    Ok(AttemptResult {
        outcome,
        body,
        reported_load,
    })
}

/// Checks everything that can be checked before the body is read.
fn check_head<B>(
    response: &Response<B>,
    previous: Option<&RequestId>,
) -> Result<(), ResponseError> {
    // A late copy of the previous response must not be taken for the response to this request. Only
    // an id that was sent on this connection identifies such a copy: a server may use the header
    // for values of its own.
    if let (Some(previous), Some(id)) = (previous, response.headers().get(REQUEST_ID)) {
        if id.as_bytes() == previous.0.as_bytes() {
            return Err(ResponseError::RepeatsPrevious);
        }
    }
    // An informational response would switch the connection to another protocol, or be followed by
    // another response.
    if response.status().is_informational() {
        return Err(ResponseError::Informational);
    }
    // It cannot be known whether a response that ends with its connection is complete.
    if !is_framed(response.headers()) {
        return Err(ResponseError::Unframed);
    }
    Ok(())
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the outcome of an attempt that received this response.
fn classify<B>(response: &Response<B>) -> AttemptOutcome {
    let not_run = response
        .headers()
        .get(NOT_RUN)
        .is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => AttemptOutcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => {
            AttemptOutcome::Overloaded
        }
        _ => AttemptOutcome::ServerError,
    }
}

/// Returns the number of requests in flight at the server, if the response reports it.
fn reported_load(headers: &HeaderMap) -> Option<f64> {
    let report = headers.get(LOAD)?.to_str().ok()?;
    load_report::parse_in_flight(report, '=')
}

#[cfg(test)]
#[path = "../../tests/unit/upstream_response.rs"]
mod tests;
