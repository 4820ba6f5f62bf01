//! Bytes that a server sends beyond the response to a request.
//!
//! RFC 9112, section 6.3: a response whose `Content-Length` is shorter than its body cannot be told
//! from a complete response by its framing. The rest of its body follows the response, where a
//! server that handles one request at a time sends nothing.

/// What was received behind a response that is complete by its framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Surplus {
    Nothing,
    /// Another response, such as a second copy. The response before it is complete.
    Response,
    /// Anything else, which may be the rest of a body whose stated length was too short.
    Unknown,
}

/// The start of the status line of every HTTP/1 response.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Number of bytes that are sufficient for [`Surplus::classify`].
pub(super) const CLASSIFIED_BYTES: usize = RESPONSE_START.len();

impl Surplus {
    /// Classifies surplus bytes by their first [`CLASSIFIED_BYTES`].
    pub(super) fn classify(bytes: &[u8]) -> Surplus {
        if bytes.is_empty() {
            Surplus::Nothing
        } else if bytes.starts_with(RESPONSE_START) {
            Surplus::Response
        } else {
            Surplus::Unknown
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/surplus.rs"]
mod tests;
