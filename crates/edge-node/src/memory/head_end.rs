//! Finds the end of the head of an HTTP/1 message in bytes that arrive in pieces of any length.

/// Start of the status line of an informational response (1xx), with any character in place of
/// [`ANY_MINOR_VERSION`].
const INFORMATIONAL_START: &[u8] = b"HTTP/1.x 1";
const ANY_MINOR_VERSION: u8 = b'x';

/// Position of the next byte in the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Before the first line. Empty lines are allowed here.
    Start,
    /// Within a line.
    Line,
    /// At the start of a line after the first one, where an empty line ends the head.
    LineStart,
    /// After the end of the head.
    Ended,
}

/// Follows one message until the end of its head. The heads of informational responses in front of
/// a response belong to the same message.
#[derive(Debug)]
pub(super) struct HeadEnd {
    state: State,
    /// Number of bytes of the head so far, with empty lines in front of it.
    head_bytes: usize,
    /// Number of bytes since the start of the first line.
    position: usize,
    /// Whether the head is that of an informational response, as far as it has been read.
    is_informational: bool,
}

impl HeadEnd {
    /// Starts with a new message.
    pub(super) fn new() -> HeadEnd {
        HeadEnd {
            state: State::Start,
            head_bytes: 0,
            position: 0,
            is_informational: true,
        }
    }

    /// Returns whether the head of the message has ended.
    pub(super) fn is_reached(&self) -> bool {
        self.state == State::Ended
    }

    /// Returns the number of bytes of the head that have been read. An informational head counts
    /// until its end.
    pub(super) fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Reads the next bytes, up to the end of the head.
    pub(super) fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.is_reached() {
                return;
            }
            self.head_bytes += 1;
            self.read_byte(*byte);
            if self.is_reached() && self.is_informational {
                *self = HeadEnd::new();
            }
        }
    }

    fn read_byte(&mut self, byte: u8) {
        self.state = match (self.state, byte) {
            (State::Start, b'\r' | b'\n') => return,
            (State::LineStart, b'\n') => State::Ended,
            (State::LineStart, b'\r') => State::LineStart,
            (_, b'\n') => State::LineStart,
            _ => State::Line,
        };
        if let Some(expected) = INFORMATIONAL_START.get(self.position) {
            self.is_informational &= *expected == ANY_MINOR_VERSION || *expected == byte;
        }
        self.position += 1;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/head_end.rs"]
mod tests;
