//! Tests that the end of a head is found wherever the pieces of a message are cut.

use super::*;

/// Reads a message in pieces of every length. Returns the number of bytes of its head, and whether
/// the head has ended.
fn read_in_pieces(message: &[u8]) -> Vec<(usize, bool)> {
    let read = |piece_bytes| {
        let mut head_end = HeadEnd::new();
        message
            .chunks(piece_bytes)
            .for_each(|piece| head_end.read(piece));
        (head_end.head_bytes(), head_end.is_reached())
    };
    (1..=message.len()).map(read).collect()
}

#[test]
fn end_of_head_is_found_in_pieces_of_any_length() {
    for (message, expected) in [
        (
            &b"GET / HTTP/1.1\r\nHost: a\r\n\r\nbody\r\n\r\n"[..],
            (27, true),
        ),
        (b"GET / HTTP/1.1\nHost: a\n\nbody", (24, true)),
        // A request whose byte at the position of a status has the value of an informational one.
        (b"GET /aaa/1 HTTP/1.1\r\n\r\nbody", (23, true)),
        (b"\r\n\r\nGET / HTTP/1.1\r\n\r\n", (22, true)),
        (b"GET / HTTP/1.1\r\nHost: a\r\n", (25, false)),
        (b"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 100 \r\n", (19, true)),
        (
            b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
            (19, true),
        ),
        (
            b"HTTP/1.1 103 Hint\r\nLink: a\r\n\r\nHTTP/1.1 2",
            (10, false),
        ),
    ] {
        let results = read_in_pieces(message);
        let text = String::from_utf8_lossy(message);
        assert!(
            results.iter().all(|result| *result == expected),
            "{text:?}: {results:?}"
        );
    }
}
