//! Tests requests that begin to arrive when their connection has been idle for so long that the edge
//! node is about to close it.

use super::start_with_one_server;
use super::support::*;
use std::thread::sleep;
use std::time::Duration;

/// Time that clients rest before they begin a request: slightly less than the idle time of 2.2 s
/// after which the edge node closes a connection.
const REST: Duration = Duration::from_millis(2000);
/// Time in which clients write the parts of a request. It ends after the idle time.
const WRITE_TIME: Duration = Duration::from_millis(400);

/// Rests, then writes a request in three parts.
fn rest_and_write_slowly(client: &mut Client, request: &str) {
    sleep(REST);
    let pieces = Pieces {
        piece_bytes: request.len() / 3,
        duration: WRITE_TIME,
    };
    // The response shows whether the edge node has closed the connection in the meantime.
    let _ = pieces.write(&mut client.stream, request.as_bytes());
}

/// Guards against a request that is closed without an answer because its head is still arriving
/// when the connection would have been idle for too long.
#[test]
fn request_that_crosses_the_idle_limit_in_parts_is_answered() {
    let (_servers, _discovery, node) = start_with_one_server("rests", &[RESPONDS_OK]);
    std::thread::scope(|scope| {
        for (class, is_first) in [
            ("read", true),
            ("read", false),
            ("pay", true),
            ("pay", false),
        ] {
            let mut client = node.client();
            scope.spawn(move || {
                let tag = format!("{class}-{is_first}");
                if !is_first {
                    let request = request_text(&format!("{tag}-before"), class, "20000m");
                    assert_eq!(client.exchange(&request).status(), 200);
                }
                rest_and_write_slowly(&mut client, &request_text(&tag, class, "20000m"));
                let status = client.read_response().map(|answer| answer.status());
                assert_eq!(status, Some(200), "{tag}");
            });
        }
    });
}
