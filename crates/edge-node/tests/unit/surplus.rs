//! Tests which surplus bytes count as another response.

use super::*;

#[test]
fn only_a_status_line_starts_another_response() {
    for (bytes, expected) in [
        (&b""[..], Surplus::Nothing),
        (b"HTTP/1.1 200 OK\r\n", Surplus::Response),
        (b"HTTP/1.", Surplus::Response),
        (b"HTTP/1", Surplus::Unknown),
        (b"\r\nHTTP/1.1 200 OK\r\n", Surplus::Unknown),
        (b"\",\"check\":\"e105\"}", Surplus::Unknown),
    ] {
        assert_eq!(Surplus::classify(bytes), expected, "{bytes:?}");
    }
}
