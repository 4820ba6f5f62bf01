//! Which errors of the operating system are the server's, and which are this machine's own.

use super::*;

fn outcome(code: i32) -> AttemptOutcome {
    ConnectError::from(io::Error::from_raw_os_error(code)).outcome()
}

/// The codes of Linux, by number: the names must not change what they stand for.
#[test]
fn a_lack_of_local_resources_is_not_attributed_to_the_server() {
    for code in [24, 23, 99, 105, 12] {
        assert_eq!(outcome(code), AttemptOutcome::NotSent, "{code}");
    }
}

#[test]
fn any_other_error_makes_the_server_unreachable() {
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
fn the_source_error_is_preserved() {
    let error = ConnectError::from(io::Error::from_raw_os_error(libc::EMFILE));
    let source = std::error::Error::source(&error).expect("the error of the operating system");
    let source = source.downcast_ref::<io::Error>().expect("an I/O error");
    assert_eq!(source.raw_os_error(), Some(libc::EMFILE));
}
