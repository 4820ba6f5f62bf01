//! Tests malformed and incomplete requests: the client gets a 4xx response or its connection is
//! closed, and no request is forwarded to a server.

use super::start_with_one_server;
use super::support::*;
use std::io::Write;

/// A replacement in the text of the valid request that makes it invalid.
struct InvalidRequest {
    original: &'static str,
    replacement: &'static str,
    /// Status of the response to the invalid request.
    status: u16,
}

impl InvalidRequest {
    const fn bad_request(original: &'static str, replacement: &'static str) -> InvalidRequest {
        InvalidRequest {
            original,
            replacement,
            status: 400,
        }
    }

    /// Sends the invalid request on its own connection, which must be closed after the response.
    fn assert_answered_and_closed(&self, node: &EdgeNode) {
        let mut client = node.client();
        let answer = client.exchange(&valid_request().replacen(self.original, self.replacement, 1));
        assert_eq!(answer.status(), self.status, "{}", self.replacement);
        client.assert_closed();
    }
}

const INVALID_REQUEST_LINES: &[InvalidRequest] = &[
    InvalidRequest::bad_request("GET", "POST"),
    InvalidRequest::bad_request("HTTP/1.1", "SMTP"),
    InvalidRequest::bad_request("/read/", "/pay/"),
    InvalidRequest::bad_request("00000000b4d65521", "b4d65521"),
    InvalidRequest::bad_request("00000000b4d65521", "ffffffffffffffff"),
    InvalidRequest::bad_request("00000000b4d65521", "+0000000b4d65521"),
];

const INVALID_CLASSES_AND_PLANS: &[InvalidRequest] = &[
    InvalidRequest::bad_request("X-Class: read", "X-Class: write"),
    InvalidRequest::bad_request("X-Class: read\r\n", ""),
    InvalidRequest::bad_request("X-Class: read", "X-Class: read\r\nX-Class: submit"),
    InvalidRequest::bad_request("X-Tier: p", "X-Tier: q"),
    InvalidRequest::bad_request("X-Tier: p", "X-Tier: p\r\nX-Tier: p"),
];

const INVALID_DEADLINES_AND_IDS: &[InvalidRequest] = &[
    InvalidRequest::bad_request("X-Deadline: 20000m", "X-Deadline: 20"),
    InvalidRequest::bad_request("X-Deadline: 20000m", "X-Deadline: NaNm"),
    InvalidRequest::bad_request("X-Deadline: 20000m", "X-Deadline: 30001m"),
    InvalidRequest::bad_request("X-Deadline: 20000m", "X-Deadline: 1e3m"),
    InvalidRequest::bad_request("X-Deadline: 20000m\r\n", ""),
    InvalidRequest::bad_request("X-Request-Id: a\r\n", ""),
];

const INVALID_CALL_TERMS: &[InvalidRequest] = &[
    InvalidRequest::bad_request("X-Call-Terms", "X-Terms"),
    InvalidRequest::bad_request("units=1", "units=-1"),
    InvalidRequest::bad_request("units=1", "units=2"),
    InvalidRequest::bad_request("units=1", "units=0"),
    InvalidRequest::bad_request("units=1", "units"),
    InvalidRequest::bad_request("units=1", "units=1,units=1"),
    InvalidRequest::bad_request("spread=1", "spread=3"),
    InvalidRequest::bad_request("spread=1", "spread=-1"),
    InvalidRequest::bad_request("first=0", "first=2"),
];

const INVALID_CONTENT_LENGTHS: &[InvalidRequest] = &[
    InvalidRequest::bad_request(
        "X-Tier: p",
        "X-Tier: p\r\nContent-Length: 4\r\nContent-Length: 5",
    ),
    InvalidRequest::bad_request("X-Tier: p", "X-Tier: p\r\nContent-Length: -4"),
    InvalidRequest::bad_request("X-Tier: p", "X-Tier: p\r\nContent-Length: 4"),
    InvalidRequest {
        original: "X-Tier: p",
        replacement: "X-Tier: p\r\nContent-Length: 60000000",
        status: 413,
    },
];

/// Request smuggling: with both a content length and a transfer encoding, a request may be hidden
/// in the body of another.
const LENGTHS_WITH_ENCODINGS: &[InvalidRequest] = &[
    InvalidRequest {
        original: "X-Tier: p",
        replacement: "X-Tier: p\r\nContent-Length: 4\r\nTransfer-Encoding: chunked",
        status: 411,
    },
    InvalidRequest {
        original: "X-Tier: p",
        replacement: "X-Tier: p\r\nTransfer-Encoding: chunked\r\nContent-Length: 4",
        status: 411,
    },
];

const INVALID_REQUESTS: [&[InvalidRequest]; 6] = [
    INVALID_REQUEST_LINES,
    INVALID_CLASSES_AND_PLANS,
    INVALID_DEADLINES_AND_IDS,
    INVALID_CALL_TERMS,
    INVALID_CONTENT_LENGTHS,
    LENGTHS_WITH_ENCODINGS,
];

/// Returns the request that the cases modify.
fn valid_request() -> String {
    request_text("a", "read", "20000m")
}

/// Sends a request without an idempotency key to a class that requires one.
fn assert_missing_idempotency_key_is_answered_400(node: &EdgeNode) {
    let request_without_key =
        request_text("b", "submit", "20000m").replace("Idempotency-Key", "Some-Key");
    assert_eq!(node.client().exchange(&request_without_key).status(), 400);
}

fn assert_too_large_body_is_answered_413(node: &EdgeNode) {
    let large = request_text("c", "pay", "20000m")
        .replace("Length: 4\r\n\r\ntime", "Length: 60000000\r\n\r\n");
    let mut client = node.client();
    client.send(&large);
    // The edge node may respond and close the connection before it has read the whole body.
    let _ = client.stream.write_all(&vec![b'x'; 65537]);
    assert_eq!(client.read_response().expect("no response").status(), 413);
}

#[test]
fn invalid_requests_get_4xx_and_do_not_affect_valid_request() {
    let (servers, _discovery, mut node) = start_with_one_server("bad", &[RESPONDS_OK]);
    for case in INVALID_REQUESTS.into_iter().flatten() {
        case.assert_answered_and_closed(&node);
    }
    assert_missing_idempotency_key_is_answered_400(&node);
    assert_too_large_body_is_answered_413(&node);
    assert!(node.is_running());
    servers.assert_no_more_requests();
    assert_eq!(node.client().exchange(&valid_request()).status(), 200);
}

/// A client sends nothing, or stops in the middle of a request: its connection is closed.
#[test]
fn closes_connections_of_silent_clients() {
    let (servers, _discovery, node) = start_with_one_server("silence", &[RESPONDS_OK]);
    let whole = request_text("a", "submit", "20000m");
    let (half_head, half_body) = (&whole[..60], &whole[..whole.len() - 2]);
    for incomplete_request in ["", half_head, half_body] {
        let mut client = node.client();
        client
            .stream
            .set_read_timeout(Some(TEST_TIMEOUT / 3))
            .expect("failed to set a read timeout");
        client.send(incomplete_request);
        if let Some(answer) = client.read_response() {
            assert_eq!(answer.status(), 400);
        }
        client.assert_closed();
    }
    servers.assert_no_more_requests();
}
