//! Reads a body into one contiguous buffer.

use super::buffer::BodyBuffer;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::error::Error;
use thiserror::Error;

/// Reason why a body was not read to its end.
#[derive(Debug, Error)]
pub(crate) enum CollectError {
    /// The body is longer than the maximum that its reader allows.
    #[error("the body exceeds {max_bytes} bytes")]
    TooLong {
        /// Maximum length in bytes.
        max_bytes: usize,
    },
    /// The body ended early, or its framing is invalid.
    #[error("the body is incomplete")]
    Incomplete(#[source] Box<dyn Error + Send + Sync>),
}

/// Reads a complete body of at most `max_bytes` bytes.
///
/// Each piece is copied and then dropped, before the next one is requested. hyper delivers a piece
/// as a view of its read buffer, which has at least 8 KiB. A piece that is kept keeps that buffer
/// allocated, however short the piece is, and hyper has to allocate another buffer to read on.
///
/// # Errors
/// Returns an error if the body is longer than `max_bytes`, or ends early. The rest of the body
/// remains unread.
pub(crate) async fn collect<B>(mut body: B, max_bytes: usize) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let declared_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut buffer = BodyBuffer::new(declared_bytes, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CollectError::Incomplete(error.into()))?;
        // Trailers have no data, and are ignored.
        if let Ok(piece) = frame.into_data() {
            buffer.append(&piece)?;
        }
    }
    Ok(buffer.into_bytes())
}

#[cfg(test)]
#[path = "../../tests/unit/body_collect.rs"]
mod tests;
