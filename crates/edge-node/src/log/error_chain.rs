//! The text of an error with its sources.

use std::error::Error;
use std::fmt;

/// Displays the messages of an error and of its sources, from the error to its root cause.
pub(crate) struct ErrorChain<'a>(pub(crate) &'a (dyn Error + 'static));

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        let sources = std::iter::successors(self.0.source(), |error| (*error).source());
        for source in sources {
            write!(formatter, ": {source}")?;
        }
        Ok(())
    }
}
