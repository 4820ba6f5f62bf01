//! Which responses are used, and what they are taken for.

use super::*;

fn response(status: u16, headers: &[(&str, &str)]) -> Response<()> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(()).expect("a response")
}

#[test]
fn only_200_is_a_success_and_only_a_marked_503_or_504_was_not_executed() {
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
fn a_head_without_framing_is_rejected() {
    assert!(matches!(
        check_head(&response(200, &[]), None),
        Err(ResponseError::Unframed)
    ));
    assert!(check_head(&response(200, &[("content-length", "0")]), None).is_ok());
    assert!(check_head(&response(200, &[("transfer-encoding", "chunked")]), None).is_ok());
}

#[test]
fn an_informational_response_is_rejected() {
    let switching = response(101, &[("content-length", "0")]);
    assert!(matches!(
        check_head(&switching, None),
        Err(ResponseError::Informational)
    ));
}

#[test]
fn a_copy_of_the_previous_response_is_rejected() {
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
fn the_load_is_read_from_its_header() {
    let head = response(200, &[("x-load", "other=1, concurrent=7")]);
    assert_eq!(reported_load(head.headers()), Some(7.0));
    assert_eq!(
        reported_load(response(200, &[("x-load", "concurrent=many")]).headers()),
        None
    );
    assert_eq!(reported_load(response(200, &[]).headers()), None);
}
