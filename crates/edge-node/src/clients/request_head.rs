//! The head of a client's request: method, path and headers, parsed and checked against the
//! settings.

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

const REQUEST_ID: &str = "x-request-id";
const CLASS: &str = "x-class";
const PLAN: &str = "x-tier";
const DEADLINE: &str = "x-deadline";
const CALL_TERMS: &str = "x-call-terms";
/// The key by which the back end deduplicates requests of some classes.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Headers that a request may have once at most.
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
/// Bytes of a request id.
const REQUEST_ID_LENGTH: RangeInclusive<usize> = 1..=64;

/// What the head of a request says, all of it within the settings.
#[derive(Debug, PartialEq)]
pub struct RequestHead {
    /// The id under which the request is answered, once at a time.
    pub id: RequestId,
    /// Its class of service.
    pub class: ClassId,
    /// The plan of its customer.
    pub plan: PlanId,
    /// Whose quota it uses.
    pub customer: CustomerId,
    /// Its costs and the gateways of its customer.
    pub terms: CallTerms,
    /// How long its client waits for the answer, counted from when the request is whole.
    pub client_timeout: Duration,
    /// Whether requests of its class may have a body.
    pub allows_body: bool,
}

impl RequestHead {
    /// Parses the head. It changes nothing, so a rejected request leaves no trace.
    ///
    /// # Errors
    /// The first rule that the head breaks; the rules are checked in a fixed order.
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
        check_method(idempotency, parts)?;
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

/// Rejects heads that two readers could take in two ways.
fn check_framing(headers: &HeaderMap) -> Result<(), RequestError> {
    // A request with both a length and an encoding may hide another request in its body, and hyper
    // drops one of the two headers without a word. So an encoding is never taken.
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::TransferEncoding);
    }
    // Of a repeated header one reader takes the first value and another the last.
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
    if !REQUEST_ID_LENGTH.contains(&id.len()) {
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

/// The customer that the path ends with. Between it and the class, with which the path begins,
/// anything may stand.
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

/// Checks that a class is called with its own method, and with a key where its requests are
/// deduplicated by one.
fn check_method(idempotency: Idempotency, parts: &Parts) -> Result<(), RequestError> {
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

/// The value of a header, if it is there and is visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
