//! Responses to clients: their status, headers and bodies.

use super::*;
use http_body_util::BodyExt;
use hyper::header::HeaderMap;

/// Status, headers and body of a response.
fn parts(response: BufferedResponse) -> (u16, HeaderMap, Bytes) {
    let (parts, body) = response.into_parts();
    // The body is held whole, so that no wait is needed for it.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let body = runtime.block_on(body.collect()).expect("a body").to_bytes();
    (parts.status.as_u16(), parts.headers, body)
}

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    fields
        .iter()
        .map(|(name, value)| {
            (
                name.parse().expect("a name"),
                HeaderValue::from_static(value),
            )
        })
        .collect()
}

#[test]
fn each_answer_has_its_response() {
    let served = Answer::Served(Bytes::from_static(b"ranks"));
    assert_eq!(
        parts(from_answer(served)),
        (200, HeaderMap::new(), Bytes::from_static(b"ranks"))
    );
    assert_eq!(
        parts(from_answer(Answer::Failed)),
        (502, HeaderMap::new(), Bytes::new())
    );
    assert_eq!(
        parts(from_answer(Answer::Rejected(None))),
        (503, HeaderMap::new(), Bytes::new())
    );
    let later = Answer::Rejected(Some(Duration::from_micros(1_020_499)));
    assert_eq!(
        parts(from_answer(later)),
        (503, headers(&[("retry-after", "1.020")]), Bytes::new())
    );
}

#[test]
fn a_rejection_says_why_and_closes_the_connection() {
    let expected = (
        400,
        headers(&[("connection", "close")]),
        Bytes::from_static(b"X-Class: missing\n"),
    );
    assert_eq!(
        parts(for_invalid_request(RequestError::MissingClass)),
        expected
    );
}

#[test]
fn the_edge_node_is_ready_only_while_it_serves() {
    for phase in [
        Phase::Starting,
        Phase::Serving,
        Phase::Draining,
        Phase::Closing,
    ] {
        let status = if phase == Phase::Serving { 200 } else { 503 };
        assert_eq!(
            parts(readiness(phase)),
            (status, HeaderMap::new(), Bytes::new()),
            "{phase:?}"
        );
    }
}
