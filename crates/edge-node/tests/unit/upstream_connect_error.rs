//! Tests which operating system errors are attributed to the server and which to this machine.

use super::*;

fn outcome(code: i32) -> AttemptOutcome {
    ConnectError::from(io::Error::from_raw_os_error(code)).outcome()
}

/// The codes are those of Linux, written as numbers so that the test does not depend on the
/// constants that it checks.
#[test]
fn local_resource_error_is_reported_as_not_sent() {
    for code in [24, 23, 99, 105, 12] {
        assert_eq!(outcome(code), AttemptOutcome::NotSent, "{code}");
    }
}

#[test]
fn other_io_error_is_reported_as_unreachable() {
    for code in [
        libc::ECONNREFUSED,
        libc::ECONNRESET,
        libc::EHOSTUNREACH,
        libc::ENETUNREACH,
        libc::ETIMEDOUT,
    ] {
        assert_eq!(outcome(code), AttemptOutcome::Unreachable, "{code}");
    }
    let without_code = ConnectError::from(io::Error::other("no code"));
    assert_eq!(without_code.outcome(), AttemptOutcome::Unreachable);
}

#[test]
fn preserves_source_error() {
    let error = ConnectError::from(io::Error::from_raw_os_error(libc::EMFILE));
    let source = std::error::Error::source(&error).expect("the error has no source");
    let source = source
        .downcast_ref::<io::Error>()
        .expect("the source is not an I/O error");
    assert_eq!(source.raw_os_error(), Some(libc::EMFILE));
}
