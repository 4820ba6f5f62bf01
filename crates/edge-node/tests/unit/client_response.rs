//! Tests the status, headers and body of each response to a client.

use super::*;
use http_body_util::BodyExt;
use hyper::header::HeaderMap;

fn status_headers_and_body(response: BufferedResponse) -> (u16, HeaderMap, Bytes) {
    let (parts, body) = response.into_parts();
    // The body is in memory, so collecting it never waits.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("failed to build a runtime");
    let body = runtime
        .block_on(body.collect())
        .expect("failed to collect the body")
        .to_bytes();
    (parts.status.as_u16(), parts.headers, body)
}

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    fields
        .iter()
        .map(|(name, value)| {
            (
                name.parse().expect("invalid header name"),
                HeaderValue::from_static(value),
            )
        })
        .collect()
}

#[test]
fn maps_final_answer_to_status_headers_and_body() {
    let served = Answer::Served(Bytes::from_static(b"ranks"));
    assert_eq!(
        status_headers_and_body(from_answer(served)),
        (200, HeaderMap::new(), Bytes::from_static(b"ranks"))
    );
    assert_eq!(
        status_headers_and_body(from_answer(Answer::Failed)),
        (502, HeaderMap::new(), Bytes::new())
    );
    assert_eq!(
        status_headers_and_body(from_answer(Answer::Rejected(None))),
        (503, HeaderMap::new(), Bytes::new())
    );
    // Rounded up, so that the client does not return too early.
    let rejected_with_retry_after = Answer::Rejected(Some(Duration::from_micros(1_020_001)));
    assert_eq!(
        status_headers_and_body(from_answer(rejected_with_retry_after)),
        (503, headers(&[("retry-after", "1.021")]), Bytes::new())
    );
}

#[test]
fn invalid_request_response_states_reason_and_closes_connection() {
    let expected = (
        400,
        headers(&[("connection", "close")]),
        Bytes::from_static(b"X-Class: missing\n"),
    );
    assert_eq!(
        status_headers_and_body(for_invalid_request(RequestError::MissingClass)),
        expected
    );
}

#[test]
fn readiness_probe_gets_200_only_in_serving_phase() {
    for phase in [
        Phase::Starting,
        Phase::Serving,
        Phase::Draining,
        Phase::Closing,
    ] {
        let status = if phase == Phase::Serving { 200 } else { 503 };
        assert_eq!(
            status_headers_and_body(readiness(phase)),
            (status, HeaderMap::new(), Bytes::new()),
            "{phase:?}"
        );
    }
}

#[test]
fn states_whole_milliseconds_of_retry_after_exactly() {
    for (micros, expected) in [(0, "0.000"), (40_000, "0.040"), (2_000_000, "2.000")] {
        let rejection = from_answer(Answer::Rejected(Some(Duration::from_micros(micros))));
        assert_eq!(rejection.headers()[RETRY_AFTER], expected);
    }
}
