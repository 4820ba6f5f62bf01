//! Reasons why a body is not accepted or not read to its end.

use crate::memory::MemoryExhausted;
use std::error::Error;
use thiserror::Error;

/// Reason why a body is not accepted, or was not read to its end.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The body is longer than the maximum length.
    #[error("the body exceeds {max_bytes} bytes")]
    TooLarge {
        /// Maximum length in bytes.
        max_bytes: usize,
    },
    /// Other bodies hold too much of the budget at the moment.
    #[error(transparent)]
    Exhausted(#[from] MemoryExhausted),
    /// The body ended early, or its framing is invalid.
    #[error("the body is incomplete")]
    Incomplete(#[source] Box<dyn Error + Send + Sync>),
}
