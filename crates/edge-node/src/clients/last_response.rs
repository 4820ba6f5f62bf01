//! The response to a request whose head is incomplete, which the HTTP server cannot answer.

use super::read_ahead::ReadAheadStream;
use super::request_error::RequestError;
use std::time::Duration;

/// Maximum time for writing the response, and then for the client to close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(50);

/// Answers an incomplete request with an error and shuts the connection down. Then reads and
/// discards what the client still sends, for a short time: a close over unread bytes resets the
/// connection, and the client might not receive the response.
pub(super) async fn write(stream: &ReadAheadStream, error: RequestError) {
    let response = response_text(error);
    let exchange = async {
        if stream.write_all(response.as_bytes()).await.is_ok() && stream.shutdown_write().is_ok() {
            stream.discard_until_end().await;
        }
    };
    // After the timeout the connection is closed whatever the client does.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, exchange).await;
}

fn response_text(error: RequestError) -> String {
    let body = format!("{error}\n");
    let status = error.status();
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}
