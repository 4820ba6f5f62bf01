//! Reads a body into one contiguous buffer.

use super::{BodyBuffer, BodyError};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::error::Error;

/// Reads a body to its end into `buffer`, which must be empty.
///
/// Each piece is copied and then dropped, before the next one is requested. hyper delivers a piece
/// as a view of its read buffer, which has at least 8 KiB. A piece that is kept keeps that buffer
/// allocated, however short the piece is, and hyper has to allocate another buffer to read on.
///
/// # Errors
/// Returns an error if the body is too long, exceeds the remaining budget, or ends early. The buffer
/// is released, and the rest of the body remains unread.
pub(crate) async fn read<B>(body: &mut B, mut buffer: BodyBuffer) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Incomplete(error.into()))?;
        // Trailers have no data, and are ignored.
        if let Ok(piece) = frame.into_data() {
            buffer.append(&piece)?;
        }
    }
    Ok(buffer.into_bytes())
}

/// Reads the rest of a body and discards it. Returns when the body has ended or broken off.
pub(crate) async fn discard(body: &mut (impl Body + Unpin)) {
    while let Some(Ok(_)) = body.frame().await {}
}

#[cfg(test)]
#[path = "../../tests/unit/body_read.rs"]
mod tests;
