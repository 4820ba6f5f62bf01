//! The response to a request whose head is incomplete, which the HTTP server cannot answer.

use super::read_ahead::ReadAheadStream;
use super::request_error::RequestError;
use std::time::Duration;

/// Maximum time for writing the response.
const WRITE_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum time for a client that is still sending to close the connection.
const SHORT_LINGER: Duration = Duration::from_millis(50);

/// For how long a connection stays open after its last response, unless the client closes it first.
/// What the client still sends meanwhile is read and discarded: a close over unread bytes resets the
/// connection, and the client might not receive the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Linger {
    /// Only what has arrived is read. Other clients wait for the connection to be closed.
    None,
    /// A short time, for a client that is still sending.
    Short,
}

impl Linger {
    fn timeout(self) -> Duration {
        match self {
            Linger::None => Duration::ZERO,
            Linger::Short => SHORT_LINGER,
        }
    }
}

/// Answers an incomplete request with an error and shuts the connection down.
pub(super) async fn write(stream: &ReadAheadStream, error: RequestError, linger: Linger) {
    let response = response_text(error);
    let written = tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(response.as_bytes())).await;
    if matches!(written, Ok(Ok(()))) && stream.shutdown_write().is_ok() {
        // After the timeout the connection is closed whatever the client does.
        let _ = tokio::time::timeout(linger.timeout(), stream.discard_until_end()).await;
    }
}

fn response_text(error: RequestError) -> String {
    let body = format!("{error}\n");
    let status = error.status();
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}
