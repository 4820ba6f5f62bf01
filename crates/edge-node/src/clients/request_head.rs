//! The head of a client's request, its method, path and headers, which is parsed and checked
//! against the settings.

use super::call_terms::CallTerms;
use super::header_value::{parse_customer, parse_duration};
use super::request_error::RequestError;
use gateway_core::settings::ResolvedSettings;
use gateway_core::{ClassId, CustomerId, Idempotency, PlanId, RequestId};
use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use std::ops::RangeInclusive;
use std::time::Duration;

// Names of the headers of a request.
const REQUEST_ID: &str = "x-request-id";
const CLASS: &str = "x-class";
const PLAN: &str = "x-tier";
const DEADLINE: &str = "x-deadline";
const CALL_TERMS: &str = "x-call-terms";
/// Header with the key by which servers deduplicate requests of keyed classes.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Headers that may occur at most once in a request.
const SINGLE_HEADERS: [&str; 8] = [
    REQUEST_ID,
    CLASS,
    PLAN,
    DEADLINE,
    CALL_TERMS,
    IDEMPOTENCY_KEY,
    "content-length",
    "host",
];
/// Valid lengths of a request id, in bytes.
const REQUEST_ID_BYTES: RangeInclusive<usize> = 1..=64;

/// The parsed head of a request, checked against the settings.
#[derive(Debug, PartialEq)]
pub struct RequestHead {
    /// Id of the request, which no other open request may have.
    pub id: RequestId,
    /// Class that the `X-Class` header names, and the first segment of the path, too.
    pub class: ClassId,
    /// Plan of the customer, as the `X-Tier` header of the request names it.
    pub plan: PlanId,
    /// Customer whose quota the request uses.
    pub customer: CustomerId,
    /// Quota units of the request and gateway set of its customer.
    pub terms: CallTerms,
    /// Time that the client waits for the response, counted from the arrival of the complete
    /// request.
    pub client_timeout: Duration,
    /// Whether requests of the class may have a body.
    pub allows_body: bool,
}

impl RequestHead {
    /// Parses and checks a request head. Has no side effects, so an invalid request changes no
    /// state.
    ///
    /// # Errors
    /// Returns the error for the first rule that the head breaks; the rules are checked in a fixed
    /// order.
    pub fn parse(settings: &ResolvedSettings, parts: &Parts) -> Result<RequestHead, RequestError> {
        let headers = &parts.headers;
        check_framing(headers)?;
        let id = parse_request_id(headers)?;
        let class_name = header_text(headers, CLASS).ok_or(RequestError::MissingClass)?;
        let class_index =
            index_of(&settings.class_names, class_name).ok_or(RequestError::UnknownClass)?;
        let plan = parse_plan(headers, &settings.plan_names)?;
        let customer = parse_path(&parts.uri, class_name)?;
        let client_timeout = parse_client_timeout(headers, settings)?;
        let terms = parse_call_terms(headers, settings)?;
        let idempotency = settings.settings.classes[class_index].idempotency;
        check_method_and_key(idempotency, parts)?;
        Ok(RequestHead {
            id,
            class: ClassId(class_index),
            plan,
            customer,
            terms,
            client_timeout,
            allows_body: idempotency != Idempotency::Idempotent,
        })
    }
}

/// Rejects heads that two HTTP implementations could interpret differently.
fn check_framing(headers: &HeaderMap) -> Result<(), RequestError> {
    // A request with both a content length and a transfer encoding may hide another request in its
    // body, and hyper silently drops one of the two headers. Transfer encodings are therefore never
    // accepted.
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::TransferEncoding);
    }
    // Some HTTP implementations use the first value of a repeated header, others the last.
    if SINGLE_HEADERS
        .iter()
        .any(|name| headers.get_all(*name).iter().count() > 1)
    {
        return Err(RequestError::RepeatedHeader);
    }
    Ok(())
}

fn parse_request_id(headers: &HeaderMap) -> Result<RequestId, RequestError> {
    let id = header_text(headers, REQUEST_ID).ok_or(RequestError::InvalidRequestId)?;
    if !REQUEST_ID_BYTES.contains(&id.len()) {
        return Err(RequestError::InvalidRequestId);
    }
    Ok(RequestId(id.into()))
}

fn parse_plan(headers: &HeaderMap, plan_names: &[String]) -> Result<PlanId, RequestError> {
    let name = header_text(headers, PLAN).ok_or(RequestError::InvalidPlan)?;
    index_of(plan_names, name)
        .map(PlanId)
        .ok_or(RequestError::InvalidPlan)
}

/// Returns the customer, which is the last segment of the path. The first segment must be the
/// class; any number of segments may lie between the two.
fn parse_path(uri: &Uri, class_name: &str) -> Result<CustomerId, RequestError> {
    let mut segments = uri.path().trim_start_matches('/').split('/');
    if segments.next() != Some(class_name) {
        return Err(RequestError::PathWithoutClass);
    }
    segments
        .next_back()
        .and_then(parse_customer)
        .ok_or(RequestError::PathWithoutCustomer)
}

fn parse_client_timeout(
    headers: &HeaderMap,
    settings: &ResolvedSettings,
) -> Result<Duration, RequestError> {
    let longest = settings.longest_deadline;
    let timeout = header_text(headers, DEADLINE).and_then(parse_duration);
    timeout
        .filter(|timeout| *timeout <= longest)
        .ok_or(RequestError::InvalidDeadline)
}

fn parse_call_terms(
    headers: &HeaderMap,
    settings: &ResolvedSettings,
) -> Result<CallTerms, RequestError> {
    let text = header_text(headers, CALL_TERMS).ok_or(RequestError::InvalidCallTerms)?;
    CallTerms::parse(text, &settings.settings).ok_or(RequestError::InvalidCallTerms)
}

/// Checks that the method is the one that the class requires, and that a request of a keyed class
/// has an idempotency key.
fn check_method_and_key(idempotency: Idempotency, parts: &Parts) -> Result<(), RequestError> {
    let expected = match idempotency {
        Idempotency::Idempotent => Method::GET,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => Method::POST,
    };
    if parts.method != expected {
        return Err(RequestError::WrongMethod);
    }
    let needs_key = matches!(idempotency, Idempotency::Keyed { .. });
    if needs_key && !parts.headers.contains_key(IDEMPOTENCY_KEY) {
        return Err(RequestError::MissingIdempotencyKey);
    }
    Ok(())
}

/// Returns the value of a header, if the header is present and its value is visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
