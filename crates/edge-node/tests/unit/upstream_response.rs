//! Tests which responses are accepted, and which outcome each has.

use super::*;

fn response(status: u16, headers: &[(&str, &str)]) -> Response<()> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(()).expect("failed to build a response")
}

#[test]
fn only_200_is_success_and_only_503_or_504_with_x_not_run_is_overloaded() {
    let cases = [
        (200, "1", AttemptOutcome::Success),
        (201, "1", AttemptOutcome::ServerError),
        (404, "1", AttemptOutcome::ServerError),
        (500, "1", AttemptOutcome::ServerError),
        (503, "1", AttemptOutcome::Overloaded),
        (504, "1", AttemptOutcome::Overloaded),
        (503, "0", AttemptOutcome::ServerError),
        (504, "yes", AttemptOutcome::ServerError),
    ];
    for (status, not_run, outcome) in cases {
        assert_eq!(
            classify(&response(status, &[("X-Not-Run", not_run)])),
            outcome,
            "{status} {not_run}"
        );
    }
    assert_eq!(classify(&response(503, &[])), AttemptOutcome::ServerError);
}

#[test]
fn rejects_response_without_length_or_transfer_encoding() {
    assert!(matches!(
        check_head(&response(200, &[]), None),
        Err(ResponseError::Unframed)
    ));
    assert!(check_head(&response(200, &[("content-length", "0")]), None).is_ok());
    assert!(check_head(&response(200, &[("transfer-encoding", "chunked")]), None).is_ok());
}

#[test]
fn rejects_informational_response() {
    let switching_protocols = response(101, &[("content-length", "0")]);
    assert!(matches!(
        check_head(&switching_protocols, None),
        Err(ResponseError::Informational)
    ));
}

#[test]
fn rejects_copy_of_previous_response() {
    let previous = RequestId("a".into());
    let head = |id| response(200, &[("content-length", "0"), ("x-request-id", id)]);
    assert!(matches!(
        check_head(&head("a"), Some(&previous)),
        Err(ResponseError::RepeatsPrevious)
    ));
    assert!(check_head(&head("b"), Some(&previous)).is_ok());
    assert!(check_head(&head("a"), None).is_ok());
    assert!(check_head(&response(200, &[("content-length", "0")]), Some(&previous)).is_ok());
}

#[test]
fn reads_load_from_x_load_header() {
    let head = response(200, &[("x-load", "other=1, concurrent=7")]);
    assert_eq!(reported_load(head.headers()), Some(7.0));
    assert_eq!(
        reported_load(response(200, &[("x-load", "concurrent=many")]).headers()),
        None
    );
    assert_eq!(reported_load(response(200, &[]).headers()), None);
}
