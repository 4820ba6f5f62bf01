//! Tests the parsing of request heads, and which rule is reported first for an invalid head.

use edge_node::clients::call_terms::CallTerms;
use edge_node::clients::request_error::RequestError;
use edge_node::clients::request_head::RequestHead;
use gateway_core::settings::{self, ResolvedSettings};
use gateway_core::{ClassId, CustomerId, GatewayId, GatewaySet, PlanId, RequestId, Units};
use hyper::Request;
use std::time::Duration;

fn resolved_settings() -> ResolvedSettings {
    let config: serde_json::Value =
        serde_json::from_str(include_str!("../fixtures/platform-config.json"))
            .expect("the fixture is not JSON");
    settings::parse(&config["settings"].to_string()).expect("the fixture has invalid settings")
}

/// A valid head of a request of a keyed class, in lines as on the wire.
const KEYED_HEAD: &str = "POST /submit-loan/any/00000000b4d65521?game=7
x-request-id: a
x-class: submit-loan
x-tier: premier
x-deadline: 480m
x-call-terms: units=2.5,spread=3,first=2
idempotency-key: k
host: n0";

fn parse_head(head: &str) -> Result<RequestHead, RequestError> {
    let mut lines = head.lines();
    let (method, target) = lines
        .next()
        .and_then(|line| line.split_once(' '))
        .expect("no method and target");
    let mut request = Request::builder().method(method).uri(target);
    for line in lines {
        let (name, value) = line.split_once(": ").expect("no header name and value");
        request = request.header(name, value);
    }
    let (parts, ()) = request
        .body(())
        .expect("failed to build the request")
        .into_parts();
    RequestHead::parse(&resolved_settings(), &parts)
}

#[test]
fn parses_valid_head() {
    let expected = RequestHead {
        id: RequestId("a".into()),
        class: ClassId(1),
        plan: PlanId(1),
        customer: CustomerId(0xb4d6_5521),
        terms: CallTerms {
            units: Units::new(2.5),
            gateways: GatewaySet {
                first: GatewayId(2),
                count: 3,
            },
        },
        client_timeout: Duration::from_millis(480),
        allows_body: true,
    };
    assert_eq!(parse_head(KEYED_HEAD), Ok(expected));
    let read = KEYED_HEAD
        .replace("submit-loan", "balance-read")
        .replace("POST", "GET");
    let read = parse_head(&read).expect("a valid head was rejected");
    assert_eq!((read.class, read.allows_body), (ClassId(0), false));
}

#[test]
fn rejects_head_with_error_of_broken_rule() {
    let long_id = format!("x-request-id: {}", "a".repeat(65));
    let cases = [
        (
            "host: n0",
            "transfer-encoding: chunked",
            RequestError::TransferEncoding,
        ),
        (
            "host: n0",
            "host: n0\nhost: n0",
            RequestError::RepeatedHeader,
        ),
        (
            "host: n0",
            "content-length: 1\ncontent-length: 1",
            RequestError::RepeatedHeader,
        ),
        ("x-request-id: a\n", "", RequestError::InvalidRequestId),
        ("x-request-id: a", &long_id, RequestError::InvalidRequestId),
        ("x-class: submit-loan\n", "", RequestError::MissingClass),
        (
            "x-class: submit-loan",
            "x-class: write",
            RequestError::UnknownClass,
        ),
        ("x-tier: premier\n", "", RequestError::InvalidPlan),
        ("x-tier: premier", "x-tier: gold", RequestError::InvalidPlan),
        (
            "/submit-loan/",
            "/balance-read/",
            RequestError::PathWithoutClass,
        ),
        (
            "00000000b4d65521",
            "b4d65521",
            RequestError::PathWithoutCustomer,
        ),
        (
            "/any/00000000b4d65521",
            "",
            RequestError::PathWithoutCustomer,
        ),
        ("x-deadline: 480m\n", "", RequestError::InvalidDeadline),
        (
            "x-deadline: 480m",
            "x-deadline: 5001m",
            RequestError::InvalidDeadline,
        ),
        ("first=2", "first=3", RequestError::InvalidCallTerms),
        ("POST", "GET", RequestError::WrongMethod),
        ("POST", "PUT", RequestError::WrongMethod),
        (
            "idempotency-key: k\n",
            "",
            RequestError::MissingIdempotencyKey,
        ),
    ];
    for (from, to, error) in cases {
        assert!(KEYED_HEAD.contains(from), "{from:?}");
        assert_eq!(
            parse_head(&KEYED_HEAD.replacen(from, to, 1)),
            Err(error),
            "{from:?} to {to:?}"
        );
    }
}

/// Clients are sent a single error text per request, so the order of the rules is visible to them.
#[test]
fn reports_first_of_several_broken_rules() {
    let order = [
        (
            "host: n0",
            "transfer-encoding: chunked",
            RequestError::TransferEncoding,
        ),
        (
            "host: n0",
            "host: n0\nhost: n0",
            RequestError::RepeatedHeader,
        ),
        ("x-request-id: a\n", "", RequestError::InvalidRequestId),
        (
            "x-class: submit-loan",
            "x-class: write",
            RequestError::UnknownClass,
        ),
        ("x-tier: premier", "x-tier: gold", RequestError::InvalidPlan),
        (
            "POST /submit-loan/",
            "POST /write/",
            RequestError::PathWithoutClass,
        ),
        (
            "00000000b4d65521",
            "b4d65521",
            RequestError::PathWithoutCustomer,
        ),
        (
            "x-deadline: 480m",
            "x-deadline: 480",
            RequestError::InvalidDeadline,
        ),
        ("units=2.5", "units=0", RequestError::InvalidCallTerms),
        (
            "idempotency-key: k\n",
            "",
            RequestError::MissingIdempotencyKey,
        ),
    ];
    // Each iteration breaks one more rule, from the last rule to the first.
    let mut head = KEYED_HEAD.to_owned();
    for (from, to, error) in order.iter().rev() {
        head = head.replacen(from, to, 1);
        assert_eq!(parse_head(&head), Err(*error), "{from:?} to {to:?}");
    }
}
